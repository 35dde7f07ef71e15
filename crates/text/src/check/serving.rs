//! Checks that each service and its dependencies can be served.

use std::collections::{HashMap, HashSet, VecDeque};

use super::Context;

/// Reports cyclic dependencies and services that no zone can serve.
pub(super) fn check(context: &mut Context<'_>) {
    let graph = Graph::new(context);
    graph.report_cycles(context);
    if backends_are_readable(context) {
        graph.report_unserved(context);
    }
}

/// Returns whether every list of servers could be read completely; otherwise it is unknown which
/// services have servers.
fn backends_are_readable(context: &Context<'_>) -> bool {
    let mut backends = context.text.backends.iter().enumerate();
    backends.all(|(index, backend)| {
        let source_len = context.positions.length("backend", index, "addrs");
        !backend.service.is_empty() && source_len == Some(backend.addrs.len())
    })
}

/// Dependency graph of the services, by index.
struct Graph {
    depends_on: Vec<Vec<usize>>,
    dependents: Vec<Vec<usize>>,
}

impl Graph {
    fn new(context: &Context<'_>) -> Self {
        let services = &context.text.services;
        let mut index_of = HashMap::new();
        for (index, service) in services.iter().enumerate() {
            index_of.entry(service.name.as_str()).or_insert(index);
        }
        let mut depends_on = vec![Vec::new(); services.len()];
        let mut dependents = vec![Vec::new(); services.len()];
        for (index, service) in services.iter().enumerate() {
            for name in &service.depends_on {
                if let Some(&dependency) = index_of.get(name.as_str()) {
                    depends_on[index].push(dependency);
                    dependents[dependency].push(index);
                }
            }
        }
        Self {
            depends_on,
            dependents,
        }
    }

    /// Reports one cycle of each group of mutually dependent services, at the service whose
    /// dependency closes the cycle.
    fn report_cycles(&self, context: &mut Context<'_>) {
        let reaches_cycle = self.reaches_cycle();
        let mut visited = HashSet::new();
        for start in 0..reaches_cycle.len() {
            if !reaches_cycle[start] || visited.contains(&start) {
                continue;
            }
            if let Some(cycle) = self.find_cycle(start, &reaches_cycle, &mut visited) {
                report_cycle(context, &cycle);
            }
        }
    }

    /// Returns, for each service, whether it is part of a cycle or depends on one. Uses Kahn's
    /// algorithm: removes services until all that remain depend on another one that remains.
    fn reaches_cycle(&self) -> Vec<bool> {
        let mut unresolved: Vec<usize> = self.depends_on.iter().map(Vec::len).collect();
        let mut reaches_cycle = vec![true; unresolved.len()];
        let mut ready: VecDeque<usize> = (0..unresolved.len())
            .filter(|&i| unresolved[i] == 0)
            .collect();
        while let Some(index) = ready.pop_front() {
            reaches_cycle[index] = false;
            for &dependent in &self.dependents[index] {
                unresolved[dependent] -= 1;
                if unresolved[dependent] == 0 {
                    ready.push_back(dependent);
                }
            }
        }
        reaches_cycle
    }

    /// Follows the dependencies in `reaches_cycle` from `start` and returns the cycle that they end
    /// in, or `None` if an earlier search has already visited it.
    fn find_cycle(
        &self,
        start: usize,
        reaches_cycle: &[bool],
        visited: &mut HashSet<usize>,
    ) -> Option<Vec<usize>> {
        let mut path = Vec::new();
        let mut current = start;
        while visited.insert(current) {
            path.push(current);
            current = *self.depends_on[current]
                .iter()
                .find(|&&next| reaches_cycle[next])?;
        }
        let cycle_start = path.iter().position(|&index| index == current)?;
        Some(path.split_off(cycle_start))
    }

    /// Reports services without servers and services that depend on them.
    fn report_unserved(&self, context: &mut Context<'_>) {
        let mut cause: Vec<Option<usize>> = vec![None; self.depends_on.len()];
        let mut queue = VecDeque::new();
        for (index, service) in context.text.services.iter().enumerate() {
            if !has_servers(context, &service.name) {
                cause[index] = Some(index);
                queue.push_back(index);
            }
        }
        while let Some(index) = queue.pop_front() {
            for &dependent in &self.dependents[index] {
                if cause[dependent].is_none() {
                    cause[dependent] = cause[index];
                    queue.push_back(dependent);
                }
            }
        }
        for (index, cause) in cause.iter().enumerate() {
            if let Some(cause) = cause {
                report_unserved(context, index, *cause);
            }
        }
    }
}

/// Returns whether a server of `service` accepts new requests.
fn has_servers(context: &Context<'_>, service: &str) -> bool {
    let text = context.text;
    text.backends
        .iter()
        .filter(|backend| backend.service == service)
        .filter(|backend| !text.zone(&backend.zone).is_some_and(|zone| zone.drain))
        .any(|backend| backend.addrs.iter().any(|a| !backend.drain.contains(a)))
}

fn report_cycle(context: &mut Context<'_>, cycle: &[usize]) {
    let services = &context.text.services;
    let mut names: Vec<&str> = cycle.iter().map(|&i| services[i].name.as_str()).collect();
    names.push(names[0]);
    let last = cycle[cycle.len() - 1];
    let offset = context.positions.field("service", last, "depends_on");
    context.findings.push(
        offset,
        format!("cyclic dependency: {}", names.join(" -> ")),
        "delete one of these dependencies",
    );
}

fn report_unserved(context: &mut Context<'_>, index: usize, cause: usize) {
    let services = &context.text.services;
    let (name, needed) = (&services[index].name, &services[cause].name);
    let offset = context.positions.item("service", index);
    let message = if index == cause {
        format!("no zone can serve \"{name}\": no backend server of it takes work")
    } else {
        format!("no zone can serve \"{name}\": it needs \"{needed}\", which no zone can serve")
    };
    context.findings.push(
        offset,
        message,
        format!("add a [[backend]] for \"{needed}\" or end a drain"),
    );
}
