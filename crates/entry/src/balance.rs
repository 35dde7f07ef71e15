//! Decisions based on the reports of other entry VMs: shares of rate limits, and requests that
//! spill to other zones.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::report::{Report, Usage};
use steer::placement::Distance;
use steer::quota::{Limiter, Peers, Rate};
use steer::spill::{self, NO_SLOTS_UTILIZATION, Part, Reported, Shares, Spill, Utilization};
use steer::to_f64;

use crate::peers;
use crate::servers::Backend;
use crate::state::State;

/// Time for which a VM that has just learned of the backend servers takes over its region's spills.
const ADOPTION_TIME: Duration = Duration::from_secs(2);

impl State {
    /// Evaluates the reports of the other entry VMs, `elapsed_s` seconds after the last evaluation.
    pub fn tick(&self, elapsed_s: f64, now: Instant) {
        self.expire(now);
        let mut membership = self.membership.borrow_mut();
        membership.expire(now);
        self.fleet_report.replace(membership.fleet_report(now));
        drop(membership);
        self.note_view(now);
        self.clear_derived();
        self.quarantine
            .note_reported(&self.fleet_report.borrow().crashes);
        self.quarantine.expire();
        self.sharing.expire(now);
        self.note_reported_limits(now);
        self.rebalance(elapsed_s, now);
        self.log_dropped_lines();
        self.log_warmth(now);
        self.update_spills(elapsed_s, now);
        event::flush();
    }

    /// Recomputes this VM's shares of the workspaces' rate limits.
    pub fn rebalance(&self, elapsed_s: f64, now: Instant) {
        let Some(config) = self.config() else {
            return;
        };
        let mut limiters = self.limiters.borrow_mut();
        let mut seen = HashSet::new();
        for workspace in config
            .keys
            .values()
            .filter(|workspace| workspace.rate_per_s > 0.0)
        {
            let id = peers::short_hash(&workspace.name);
            if !seen.insert(id) {
                continue;
            }
            let rate = Rate {
                per_s: workspace.rate_per_s,
                burst: workspace.burst,
            };
            let others = self.peers_usage(id);
            let limiter = limiters.entry(id);
            let limiter = limiter.or_insert_with(|| Limiter::new(rate, others.vms, now));
            limiter.rebalance(rate, others, elapsed_s, now);
        }
        limiters.retain(|id, _| seen.contains(id));
    }

    /// Returns what the other entry VMs reported about the workspace whose name has the hash `id`.
    fn peers_usage(&self, id: u32) -> Peers {
        let membership = self.membership.borrow();
        let fleet_report = self.fleet_report.borrow();
        let all = fleet_report.usage(id);
        let own = membership.own_report().usage(id);
        let without_own = |of: fn(&Usage) -> f32| {
            let all = all.map_or(0.0, |asked| f64::from(of(asked)));
            (all - own.map_or(0.0, |asked| f64::from(of(asked)))).max(0.0)
        };
        Peers {
            demand: without_own(|asked| asked.demand),
            admitted: without_own(|asked| asked.admitted),
            granted: all.map_or(0.0, |asked| f64::from(asked.granted)),
            is_sole_owner: all.and_then(|asked| asked.granted_by)
                == Some(peers::short_hash(&self.settings.vm)),
            vms: membership.count().max(fleet_report.vms.len()),
            alive: fleet_report.vms.len().max(1),
        }
    }

    /// Recomputes which part of the requests spills to other zones.
    fn update_spills(&self, elapsed_s: f64, now: Instant) {
        let servers = self.servers.borrow();
        if servers.iter().next().is_none() {
            return;
        }
        let is_new = self.is_new_to_servers(now);
        let is_partitioned = servers.is_partitioned(&self.settings.zone);
        let fleet_report = self.fleet_report.borrow();
        for service in servers.services() {
            self.note_utilization(service, servers.of(service), now);
            let of_service = servers.of(service);
            let utilization =
                self.utilization_around(service, &fleet_report, of_service, is_partitioned);
            let mut spills = self.spills.borrow_mut();
            let spill = spills.entry(service.clone()).or_default();
            let reported = self.reported_spills(service, &fleet_report, servers.of(service));
            let others: Vec<Spill> = reported.iter().map(|zone| zone.spill).collect();
            if is_new && let Some(mean) = Spill::mean(&others) {
                *spill = mean;
            } else if is_new {
                *spill = Spill::initial(self.shares(servers.of(service)));
            } else if !self.budgets.borrow().contains_key(service) {
                *spill = Spill::without_requests(&reported, self.shares(servers.of(service)));
            }
            *spill = spill.after(utilization, elapsed_s).towards(&others);
        }
    }

    /// Returns whether the backend servers have been known for less than [`ADOPTION_TIME`].
    fn is_new_to_servers(&self, now: Instant) -> bool {
        let since = self.servers_since.get().unwrap_or(now);
        self.servers_since.set(Some(since));
        now.duration_since(since) < ADOPTION_TIME
    }

    /// Returns what the zones of this region report of `service`. Their spills make the VMs of the region
    /// agree on the objects that are served away from it. A zone without servers has no load, whatever
    /// utilization it reports.
    fn reported_spills(
        &self,
        service: &str,
        fleet_report: &Report,
        servers: &[Rc<Backend>],
    ) -> Vec<Reported> {
        let id = peers::short_hash(service);
        let zones = self.settings.zones.iter();
        let in_region = zones.filter(|(_, region)| **region == self.settings.region);
        let reported = |zone: &String| {
            let load = fleet_report.load(id, peers::short_hash(zone))?;
            let has_servers = servers.iter().any(|backend| backend.zone == *zone);
            Some(Reported {
                spill: Spill {
                    zone: f64::from(load.spill_zone),
                    region: f64::from(load.spill_region),
                },
                utilization: if has_servers {
                    f64::from(load.utilization)
                } else {
                    0.0
                },
            })
        };
        in_region.filter_map(|(zone, _)| reported(zone)).collect()
    }

    /// Returns the shares of the slots of `servers` and of the callers around this VM.
    fn shares(&self, servers: &[Rc<Backend>]) -> Shares {
        let membership = self.membership.borrow();
        let zones: Vec<&str> = membership.zones().collect();
        let in_region = |zone: &&&str| self.region_of(zone) == self.settings.region;
        let in_zone = |zone: &&&str| **zone == self.settings.zone;
        let share = |count: usize| to_f64(count) / to_f64(zones.len());
        let slots = |max_distance: Distance| -> f64 {
            let near = servers
                .iter()
                .filter(|backend| backend.distance <= max_distance && self.may_take_work(backend));
            near.map(|backend| f64::from(backend.registered_slots.get()))
                .sum()
        };
        let all = slots(Distance::Far).max(1.0);
        Shares {
            zone_slots: slots(Distance::Zone) / all,
            region_slots: slots(Distance::Region) / all,
            zone_callers: share(zones.iter().filter(in_zone).count()),
            region_callers: share(zones.iter().filter(in_region).count()),
        }
    }

    /// Returns whether `backend` takes work and its zone is not evacuated.
    fn may_take_work(&self, backend: &Backend) -> bool {
        backend.takes_work() && !self.is_evacuated(&backend.zone)
    }

    /// Returns the servers at a distance of `wanted` that take work, with the load that `load_of` returns.
    /// Other zones that are evacuated are left out, since they would look idle. This VM's own zone is not:
    /// its requests return to it as soon as the evacuation ends.
    fn parts(
        &self,
        servers: &[Rc<Backend>],
        wanted: Distance,
        load_of: impl Fn(&Backend) -> f64,
    ) -> Vec<Part> {
        let takes_work = |backend: &Backend| match wanted {
            Distance::Zone => backend.takes_work(),
            Distance::Region | Distance::Far => self.may_take_work(backend),
        };
        let at_distance = servers
            .iter()
            .filter(|backend| backend.distance == wanted && takes_work(backend));
        let part = |backend: &Rc<Backend>| Part {
            load: load_of(backend),
            slots: f64::from(backend.registered_slots.get()),
            is_reachable: !backend.is_unreachable(),
        };
        at_distance.map(part).collect()
    }

    fn note_utilization(&self, service: &str, servers: &[Rc<Backend>], now: Instant) {
        let own = self.parts(servers, Distance::Zone, |backend| {
            backend.load(|| self.vms_in(&backend.zone), now)
        });
        let seen = spill::utilization(&own, true).unwrap_or(NO_SLOTS_UTILIZATION);
        let mut utilization = self.utilization.borrow_mut();
        let smooth = utilization.entry(service.to_owned()).or_insert(seen);
        *smooth = f64::midpoint(*smooth, seen);
    }

    fn utilization_around(
        &self,
        service: &str,
        fleet_report: &Report,
        servers: &[Rc<Backend>],
        is_partitioned: bool,
    ) -> Utilization {
        let id = peers::short_hash(service);
        let of = |wanted: Distance, or_unreachable: bool| {
            let parts = self.parts(servers, wanted, |backend| {
                let reported = fleet_report.load(id, peers::short_hash(&backend.zone));
                let utilization = reported.map_or(0.0, |load| f64::from(load.utilization));
                utilization * f64::from(backend.registered_slots.get())
            });
            spill::utilization(&parts, or_unreachable)
        };
        let utilization = self.utilization.borrow();
        let has_own = !self.parts(servers, Distance::Zone, |_| 0.0).is_empty();
        Utilization {
            zone: has_own.then(|| utilization.get(service).copied().unwrap_or_default()),
            // Other zones of the region that this VM does not reach count only if it is partitioned itself.
            // If they are lost, its own zone alone tells whether the region has room.
            region: of(Distance::Region, is_partitioned),
            far: of(Distance::Far, true),
        }
    }

    /// Logs the number of dropped log lines whenever it has grown.
    fn log_dropped_lines(&self) {
        let lines = event::dropped();
        if self.dropped_lines.replace(lines) < lines {
            event::emit(&event::Event::LinesDropped { lines });
        }
    }
}
