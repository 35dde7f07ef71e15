//! Conclusions from what the other entry VMs tell: shares of rates, and requests that move away.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Instant;

use fleet::Workspace;
use fleet::report::{Report, Usage};
use steer::placement::Distance;
use steer::quota::{Limiter, Peers, Rate};
use steer::spill::{Shares, Spill, Utilization};
use steer::to_f64;

use crate::peers;
use crate::servers::Live;
use crate::state::State;

/// Busyness of a zone without backend servers, which all its work must leave.
const NO_SLOTS_BUSY: f64 = 2.0;

impl State {
    /// Draws conclusions from what the other entry VMs told, `elapsed_s` seconds after the last
    /// time.
    pub fn tick(&self, elapsed_s: f64, now: Instant) {
        self.expire(now);
        let mut board = self.board.borrow_mut();
        board.expire(now);
        self.picture.replace(board.fleet_report(now));
        drop(board);
        self.note_view(now);
        self.forget_derived();
        self.quarantine.learn(&self.picture.borrow().crashes);
        self.quarantine.expire();
        self.rebalance(elapsed_s, now);
        self.note_dropped_lines();
        self.log_warmth(now);
        self.spill(elapsed_s, now);
        event::flush();
    }

    /// Works out the shares of the workspaces' rates.
    pub fn rebalance(&self, elapsed_s: f64, now: Instant) {
        let Some(config) = self.config() else {
            return;
        };
        let mut accounts = self.accounts.borrow_mut();
        let mut seen = HashSet::new();
        for workspace in config
            .keys
            .values()
            .filter(|workspace| workspace.rate_per_s > 0.0)
        {
            if !seen.insert(workspace.name.as_str()) {
                continue;
            }
            let rate = Rate {
                per_s: workspace.rate_per_s,
                burst: workspace.burst,
            };
            let others = self.others(workspace);
            let account = accounts.entry(workspace.name.clone());
            let account = account.or_insert_with(|| Limiter::new(rate, others.vms, now));
            account.rebalance(rate, others, elapsed_s, now);
        }
        accounts.retain(|name, _| seen.contains(name.as_str()));
    }

    /// Returns what the other entry VMs tell of `workspace`.
    fn others(&self, workspace: &Workspace) -> Peers {
        let number = peers::number(&workspace.name);
        let board = self.board.borrow();
        let picture = self.picture.borrow();
        let all = picture.usage(number);
        let own = board.own_report().usage(number);
        let without_own = |of: fn(&Usage) -> f32| {
            let all = all.map_or(0.0, |asked| f64::from(of(asked)));
            (all - own.map_or(0.0, |asked| f64::from(of(asked)))).max(0.0)
        };
        Peers {
            demand: without_own(|asked| asked.demand),
            admitted: without_own(|asked| asked.admitted),
            vms: board.count().max(picture.vms.len()),
            alive: picture.vms.len().max(1),
        }
    }

    /// Works out how many requests begin away from this zone.
    fn spill(&self, elapsed_s: f64, now: Instant) {
        let servers = self.servers.borrow();
        let picture = self.picture.borrow();
        for service in servers.services() {
            self.note_busy(service, servers.of(service), now);
            let busy = self.busy_around(service, &picture, servers.of(service));
            let mut spills = self.spills.borrow_mut();
            let spill = spills.entry(service.clone()).or_default();
            if !self.budgets.borrow().contains_key(service) {
                *spill = self.prior(&picture, servers.of(service));
            }
            let zone = picture.load(peers::number(service), peers::number(&self.settings.zone));
            let told = zone.map(|load| Spill {
                zone: f64::from(load.spill_zone),
                region: f64::from(load.spill_region),
            });
            *spill = spill.after(busy, elapsed_s).mean(told.as_slice());
        }
    }

    /// Returns the requests that begin away from this zone before any request was seen.
    fn prior(&self, picture: &Report, servers: &[Rc<Live>]) -> Spill {
        let board = self.board.borrow();
        let mut zones: Vec<&str> = board
            .ready(picture)
            .iter()
            .map(|(_, peer)| peer.zone.as_str())
            .collect();
        zones.push(&self.settings.zone);
        let in_region = |zone: &&&str| self.region_of(zone) == self.settings.region;
        let in_zone = |zone: &&&str| **zone == self.settings.zone;
        let share = |count: usize| to_f64(count) / to_f64(zones.len());
        let slots = |most: Distance| -> f64 {
            let near = servers.iter().filter(|live| live.distance <= most);
            near.map(|live| f64::from(live.slots.get())).sum()
        };
        let all = slots(Distance::Far).max(1.0);
        Spill::initial(Shares {
            zone_slots: slots(Distance::Zone) / all,
            region_slots: slots(Distance::Region) / all,
            zone_callers: share(zones.iter().filter(in_zone).count()),
            region_callers: share(zones.iter().filter(in_region).count()),
        })
    }

    fn note_busy(&self, service: &str, servers: &[Rc<Live>], now: Instant) {
        let own = servers
            .iter()
            .filter(|live| live.distance == Distance::Zone && live.ready.get());
        let (load, slots) = own.fold((0.0, 0.0), |(load, slots), live| {
            (
                load + live.load(|| self.vms_in(&live.zone), now),
                slots + f64::from(live.slots.get()),
            )
        });
        let seen = if slots > 0.0 {
            load / slots
        } else {
            NO_SLOTS_BUSY
        };
        let mut busy = self.busy.borrow_mut();
        let smooth = busy.entry(service.to_owned()).or_insert(seen);
        *smooth = f64::midpoint(*smooth, seen);
    }

    fn busy_around(&self, service: &str, picture: &Report, servers: &[Rc<Live>]) -> Utilization {
        let number = peers::number(service);
        let of = |wanted: Distance| {
            let mut load = 0.0;
            let mut slots = 0.0;
            for live in servers
                .iter()
                .filter(|live| live.distance == wanted && live.ready.get())
            {
                let told = picture.load(number, peers::number(&live.zone));
                let busy = told.map_or(0.0, |load| f64::from(load.utilization));
                load += busy * f64::from(live.slots.get());
                slots += f64::from(live.slots.get());
            }
            (slots > 0.0).then(|| load / slots)
        };
        let busy = self.busy.borrow();
        Utilization {
            zone: busy.get(service).copied().unwrap_or_default(),
            region: of(Distance::Region),
            far: of(Distance::Far),
        }
    }

    /// Logs that lines were left out, once for each new count.
    fn note_dropped_lines(&self) {
        let lines = event::dropped();
        if self.dropped_lines.replace(lines) < lines {
            event::emit(&event::Event::LinesDropped { lines });
        }
    }
}
