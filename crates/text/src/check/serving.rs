//! Whether each service can be served, with all that it depends on.

use std::collections::{HashMap, HashSet, VecDeque};

use super::Subject;

/// Reports cyclic dependencies and services that no zone can serve.
pub(super) fn check(subject: &mut Subject<'_>) {
    let graph = Graph::new(subject);
    graph.report_cycles(subject);
    if backends_are_readable(subject) {
        graph.report_unserved(subject);
    }
}

/// Returns whether every list of servers was read whole; who serves what is unknown otherwise.
fn backends_are_readable(subject: &Subject<'_>) -> bool {
    let mut backends = subject.text.backends.iter().enumerate();
    backends.all(|(index, backend)| {
        let written = subject.positions.length("backend", index, "addrs");
        !backend.service.is_empty() && written == Some(backend.addrs.len())
    })
}

/// Services and their dependencies, by index.
struct Graph {
    depends_on: Vec<Vec<usize>>,
    dependents: Vec<Vec<usize>>,
}

impl Graph {
    fn new(subject: &Subject<'_>) -> Self {
        let services = &subject.text.services;
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

    /// Reports one cycle of each group of services that need one another, at the service whose
    /// dependency closes it.
    fn report_cycles(&self, subject: &mut Subject<'_>) {
        let tangled = self.tangled();
        let mut visited = HashSet::new();
        for start in 0..tangled.len() {
            if !tangled[start] || visited.contains(&start) {
                continue;
            }
            if let Some(cycle) = self.walk(start, &tangled, &mut visited) {
                report_cycle(subject, &cycle);
            }
        }
    }

    /// Returns which services depend, directly or not, on a cycle, by taking away those whose
    /// dependencies are all taken away.
    fn tangled(&self) -> Vec<bool> {
        let mut open: Vec<usize> = self.depends_on.iter().map(Vec::len).collect();
        let mut tangled = vec![true; open.len()];
        let mut free: VecDeque<usize> = (0..open.len()).filter(|&i| open[i] == 0).collect();
        while let Some(index) = free.pop_front() {
            tangled[index] = false;
            for &dependent in &self.dependents[index] {
                open[dependent] -= 1;
                if open[dependent] == 0 {
                    free.push_back(dependent);
                }
            }
        }
        tangled
    }

    /// Follows tangled dependencies from `start` and returns the cycle that it runs into, unless
    /// an earlier walk has been there.
    fn walk(
        &self,
        start: usize,
        tangled: &[bool],
        visited: &mut HashSet<usize>,
    ) -> Option<Vec<usize>> {
        let mut path = Vec::new();
        let mut at = start;
        while visited.insert(at) {
            path.push(at);
            at = *self.depends_on[at].iter().find(|&&next| tangled[next])?;
        }
        let first = path.iter().position(|&index| index == at)?;
        Some(path.split_off(first))
    }

    /// Reports services without servers, and those that depend on one.
    fn report_unserved(&self, subject: &mut Subject<'_>) {
        let mut cause: Vec<Option<usize>> = vec![None; self.depends_on.len()];
        let mut queue = VecDeque::new();
        for (index, service) in subject.text.services.iter().enumerate() {
            if !has_servers(subject, &service.name) {
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
                report_unserved(subject, index, *cause);
            }
        }
    }
}

/// Returns whether a server of `service` may get work.
fn has_servers(subject: &Subject<'_>, service: &str) -> bool {
    let text = subject.text;
    text.backends
        .iter()
        .filter(|backend| backend.service == service)
        .filter(|backend| !text.zone(&backend.zone).is_some_and(|zone| zone.drain))
        .any(|backend| backend.addrs.iter().any(|a| !backend.drain.contains(a)))
}

fn report_cycle(subject: &mut Subject<'_>, cycle: &[usize]) {
    let services = &subject.text.services;
    let mut names: Vec<&str> = cycle.iter().map(|&i| services[i].name.as_str()).collect();
    names.push(names[0]);
    let last = cycle[cycle.len() - 1];
    let offset = subject.positions.field("service", last, "depends_on");
    subject.findings.push(
        offset,
        format!("cyclic dependency: {}", names.join(" -> ")),
        "delete one of these dependencies",
    );
}

fn report_unserved(subject: &mut Subject<'_>, index: usize, cause: usize) {
    let services = &subject.text.services;
    let (name, needed) = (&services[index].name, &services[cause].name);
    let offset = subject.positions.item("service", index);
    let message = if index == cause {
        format!("no zone can serve \"{name}\": no backend server of it takes work")
    } else {
        format!("no zone can serve \"{name}\": it needs \"{needed}\", which no zone can serve")
    };
    subject.findings.push(
        offset,
        message,
        format!("add a [[backend]] for \"{needed}\" or end a drain"),
    );
}
