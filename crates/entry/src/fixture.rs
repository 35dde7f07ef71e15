//! The state of a VM for unit tests, and a runtime for its tasks.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::sync::Once;
use std::time::Duration;

use steer::budget::Limit;
use tokio::task::LocalSet;
use tokio::time::timeout;

use crate::names::Names;
use crate::settings::{Bounds, Listen, Settings};
use crate::state::State;

/// Time after which a test fails.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the state of a VM in zone `a` that knows nothing of the store yet.
pub fn state() -> Rc<State> {
    // Property tests create thousands of states.
    static QUIET: Once = Once::new();
    QUIET.call_once(|| event::init("off").expect("log level"));
    let settings = Settings {
        vm: "vm-1".to_owned(),
        zone: "a".to_owned(),
        region: "r".to_owned(),
        ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
        zones: HashMap::new(),
        listen: Listen::default(),
        peer_port: 0,
        seeds: Vec::new(),
        memory_bytes: 64 << 20,
        capacity: 1,
        link_bytes_per_s: 125e6,
        max_sockets: 100,
        bounds: Bounds {
            grace: Duration::from_secs(2),
            lookup_ttl: Duration::from_secs(5),
            retries: Limit {
                window: Duration::from_secs(10),
                ratio: 0.2,
                extra: 56.0,
            },
            cold_factor: 1.5,
            cold_extra: 5.0,
        },
    };
    let names = Names {
        attempt: "attempt",
        object: "object",
        deadline: "deadline",
        key: "key",
        workspace: "workspace",
        target: "target",
        not_run: "not-run",
        load: "load",
        leaving: "leaving",
        limit: "limit",
        lookup_path: "/lookup",
        ready_path: "/ready",
        lookup_zone: "zone",
        lookup_region: "region",
        render_lookup: |_, _| Vec::new(),
    };
    Rc::new(State::new(settings, names))
}

/// Runs `test` on one thread with local tasks.
pub fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    let limited = async { timeout(TIMEOUT, test).await.expect("end in time") };
    LocalSet::new().block_on(&runtime, limited);
}
