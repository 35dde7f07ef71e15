//! Requests passed on between VMs that know different versions of the configuration.

use fleet::config::{Idempotency, Route, Target, Version, Workspace};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use steer::agreement::{Ruling, Verdict, judge, service, terms};

/// Number of services, keys and home regions that versions choose from.
const CHOICES: u8 = 3;

/// What a version of the configuration says about the requests of the test, which carry key 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Content {
    /// Service of the route; absent if there is no route.
    service: Option<u8>,
    /// Whether key 0 belongs to the workspace.
    has_key: bool,
    /// Home region of the route.
    home: u8,
}

impl Content {
    fn route(self) -> Option<Route> {
        Some(Route {
            name: "r".to_owned(),
            prefix: "/".to_owned(),
            idempotency: Idempotency::AtMostOnce,
            timeout: std::time::Duration::from_secs(1),
            target_latency: std::time::Duration::from_millis(200),
            priority: 0,
            targets: vec![Target {
                service: self.service?.to_string(),
                weight: 1.0,
            }],
            max_attempts: 2,
            public: false,
            has_affinity: false,
            home_regions: vec![self.home.to_string()],
        })
    }

    fn workspace(self) -> Option<Workspace> {
        self.has_key.then(|| Workspace {
            name: "w".to_owned(),
            priority: None,
            rate_per_s: 0.0,
            burst: 0.0,
            home_regions: Vec::new(),
        })
    }

    /// Returns the route and the workspace if the request is allowed.
    fn decide(self) -> Option<(Route, Workspace)> {
        Some((self.route()?, self.workspace()?))
    }
}

/// A way to judge, so that faulty ones can be planted.
type Judge = fn(Ruling, Version, Option<(&Route, Option<&Workspace>)>) -> Verdict;

/// A request at the first VM while it knows one version, and the VM that it is passed on to another.
#[derive(Debug, Clone, Copy)]
struct Step {
    asking: usize,
    helping: usize,
}

fn contents() -> impl Strategy<Value = Vec<Content>> {
    let content = (
        prop::option::weighted(0.8, 0..CHOICES),
        prop::bool::weighted(0.8),
        0..2_u8,
    );
    let content = content.prop_map(|(service, has_key, home)| Content {
        service,
        has_key,
        home,
    });
    prop::collection::vec(content, 2..5)
}

/// Steps in which the first VM's version never goes back.
fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..5_usize, 0..5_usize).prop_map(|(asking, helping)| Step { asking, helping });
    prop::collection::vec(step, 1..12).prop_map(|mut steps| {
        steps.sort_by_key(|step| step.asking);
        steps
    })
}

/// Returns a description of the first request that is run although the asking VM's version or the helping
/// VM's decides otherwise.
fn first_fault(judge: Judge, contents: &[Content], steps: &[Step]) -> Option<String> {
    for step in steps {
        let asking = step.asking.min(contents.len() - 1);
        let helping = step.helping.min(contents.len() - 1);
        let Some((route, workspace)) = contents[asking].decide() else {
            continue;
        };
        let asked = Ruling {
            version: Version(asking as u64),
            service: service(&route.targets[0].service),
            terms: terms(&route, Some(&workspace)),
        };
        let decided = contents[helping].decide();
        let decided = decided.as_ref();
        let decided = decided.map(|(route, workspace)| (route, Some(workspace)));
        let verdict = judge(asked, Version(helping as u64), decided);
        let same = contents[asking] == contents[helping];
        if (verdict == Verdict::Serve) != same {
            return Some(format!("{verdict:?} at {step:?}"));
        }
    }
    None
}

fn runner() -> TestRunner {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(Config::with_cases(500), rng)
}

/// Returns whether random views show a fault of `judge`.
fn is_found(judge: Judge) -> bool {
    let outcome = runner().run(&(contents(), steps()), |(contents, steps)| {
        prop_assert_eq!(first_fault(judge, &contents, &steps), None);
        Ok(())
    });
    outcome.is_err()
}

#[test]
fn requests_run_only_as_both_versions_decide_and_nothing_else_is_refused() {
    assert!(!is_found(judge));
}

#[test]
fn planted_faults_are_found() {
    let always: Judge = |_, _, _| Verdict::Serve;
    let by_later_version: Judge = |asked, version, decided| {
        if decided.is_some() && version > asked.version {
            return Verdict::Serve;
        }
        judge(asked, version, decided)
    };
    let by_equal_version: Judge = |asked, version, _| {
        if version == asked.version {
            Verdict::Serve
        } else {
            Verdict::Behind
        }
    };
    let without_terms: Judge = |mut asked, version, decided| {
        if let Some((route, workspace)) = decided {
            asked.terms = terms(route, workspace);
        }
        judge(asked, version, decided)
    };
    let without_service: Judge = |mut asked, version, decided| {
        if let Some((route, _)) = decided {
            asked.service = service(&route.targets[0].service);
        }
        judge(asked, version, decided)
    };
    let planted = [
        always,
        by_later_version,
        by_equal_version,
        without_terms,
        without_service,
    ];
    for (index, planted) in planted.into_iter().enumerate() {
        assert!(is_found(planted), "planted fault {index}");
    }
}

#[test]
fn the_vm_with_the_older_version_is_the_one_to_take_over_the_other_state() {
    let content = Content {
        service: Some(0),
        has_key: true,
        home: 0,
    };
    let (route, workspace) = content.decide().expect("allowed");
    let asked = Ruling {
        version: Version(5),
        service: service("1"),
        terms: terms(&route, Some(&workspace)),
    };
    let decided = Some((&route, Some(&workspace)));
    assert_eq!(judge(asked, Version(4), decided), Verdict::Behind);
    assert_eq!(judge(asked, Version(6), decided), Verdict::Ahead);
    assert_eq!(judge(asked, Version(4), None), Verdict::Behind);
}
