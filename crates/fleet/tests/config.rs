//! Which route serves a path.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fleet::{Config, Idempotency, Route};
use proptest::prelude::*;

const HOST: &str = "h.example";

fn route(prefix: &str) -> Arc<Route> {
    Arc::new(Route {
        name: prefix.to_owned(),
        prefix: prefix.to_owned(),
        idempotency: Idempotency::Idempotent,
        timeout: Duration::ZERO,
        target_latency: Duration::ZERO,
        priority: 0,
        targets: Vec::new(),
        max_attempts: 1,
        public: true,
        has_affinity: false,
        home_regions: Vec::new(),
    })
}

fn config(prefixes: &[String]) -> Config {
    let routes = prefixes.iter().map(|prefix| route(prefix)).collect();
    let config = Config {
        hosts: HashMap::from([(HOST.to_owned(), routes)]),
        ..Config::default()
    };
    config.with_sorted_routes()
}

proptest! {
    /// Among the routes whose prefix begins the path, the one with the longest serves it.
    #[test]
    fn longest_prefix_serves_a_path(
        prefixes in prop::collection::vec("/([ab!]{1,2}/){0,3}", 0..12),
        path in "/([ab!]{1,2}/?){0,5}",
    ) {
        let matching = prefixes.iter().filter(|prefix| path.starts_with(*prefix));
        let longest = matching.max_by_key(|prefix| prefix.len());
        let config = config(&prefixes);
        let found = config.route(HOST, &path).map(|route| &route.prefix);
        prop_assert_eq!(found, longest);
    }
}
