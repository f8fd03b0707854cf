//! Selection of a route and of a service.

use direct::{
    Config, EngineSpec, Limits, Route, RouteKind, ServiceSpec, WeightedService,
};
use std::collections::BTreeMap;

fn route(name: &str, host: &str, prefix: &str, services: &[(&str, u64)]) -> Route {
    Route {
        name: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        targets: services
            .iter()
            .map(|(service, weight)| WeightedService {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        latency_target_ms: 100,
        priority: 1,
        upstreams_max: 2,
        pause_max_ms: 0,
        is_public: false,
    }
}

fn setup() -> Config {
    let routes = vec![
        route("a", "x.example", "/a/", &[("one", 1)]),
        route("ab", "x.example", "/a/b/", &[("two", 1)]),
        route("other", "y.example", "/a/", &[("three", 1)]),
        route("all", "x.example", "/", &[("four", 1)]),
    ];
    Config::new(1, routes, BTreeMap::new(), Limits::default())
}

fn chosen(host: &str, path: &str) -> Option<String> {
    let setup = setup();
    setup.route(host, path).map(|route| route.name.to_string())
}

#[test]
fn the_longest_prefix_of_the_host_is_chosen() {
    assert_eq!(chosen("x.example", "/a/b/c").as_deref(), Some("ab"));
    assert_eq!(chosen("x.example", "/a/bc").as_deref(), Some("a"));
    assert_eq!(chosen("x.example", "/ab").as_deref(), Some("all"));
    assert_eq!(chosen("y.example", "/a/b/c").as_deref(), Some("other"));
}

#[test]
fn no_route_of_another_host_or_without_the_slash_matches() {
    assert_eq!(chosen("y.example", "/b/"), None);
    assert_eq!(chosen("y.example", "/a"), None);
    assert_eq!(chosen("z.example", "/a/"), None);
}

#[test]
fn the_port_of_a_host_is_ignored() {
    assert_eq!(chosen("y.example:8080", "/a/x").as_deref(), Some("other"));
}

#[test]
fn requests_are_split_by_weight_and_stay_with_their_service() {
    let split = route("s", "x", "/", &[("big", 90), ("small", 10), ("none", 0)]);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for request in 0..1_000 {
        let id = format!("request-{request}");
        let service = split.service(&id).expect("there are services");
        assert_eq!(split.service(&id), Some(service));
        *counts.entry(service.to_string()).or_default() += 1;
    }
    assert!((850..950).contains(&counts["big"]), "{counts:?}");
    assert!((50..150).contains(&counts["small"]), "{counts:?}");
    assert!(!counts.contains_key("none"));
}

/// All streams of an engine pause together, so the route that allows the shortest pause
/// counts for the service. Routes that declare none or aren't streams don't count.
#[test]
fn the_shortest_pause_of_the_streams_of_a_service_counts() {
    let with_pause = |name: &str, kind: RouteKind, pause_max_ms: u64| Route {
        kind,
        pause_max_ms,
        ..route(name, "x.example", &format!("/{name}/"), &[("one", 1)])
    };
    let routes = vec![
        with_pause("a", RouteKind::Stream, 400),
        with_pause("b", RouteKind::ResumableStream, 300),
        with_pause("c", RouteKind::Stream, 0),
        with_pause("d", RouteKind::Idempotent, 100),
    ];
    let config = Config::new(1, routes, BTreeMap::new(), Limits::default());
    assert_eq!(config.pause_max_ms("one"), Some(300));
    assert_eq!(config.pause_max_ms("two"), None);
}

/// Routes of one service, each with its priority and target, on engines or not.
fn urgent_target_ms(routes: &[(u32, u64)], on_engines: bool) -> Option<u64> {
    let routes = routes.iter().map(|(priority, latency_target_ms)| Route {
        priority: *priority,
        latency_target_ms: *latency_target_ms,
        ..route("any", "x.example", "/a/", &[("one", 1)])
    });
    let spec = ServiceSpec {
        engine: on_engines.then(EngineSpec::default),
    };
    let services = BTreeMap::from([("one".into(), spec.into())]);
    let config = Config::new(1, routes.collect(), services, Limits::default());
    config.urgent_target_ms("one")
}

/// Only a service with routes of very different urgency is to order its requests; all
/// others must be served as before. A target of zero means that none is set.
#[test]
fn requests_wait_in_order_only_beside_a_patient_route() {
    let urgent = &[(1, 1_500), (2, 8_000), (0, 500)];
    assert_eq!(urgent_target_ms(urgent, true), Some(500));
    assert_eq!(urgent_target_ms(urgent, false), None);
    assert_eq!(urgent_target_ms(&[(0, 500), (0, 8_000)], true), None);
    assert_eq!(urgent_target_ms(&[(1, 500), (0, 8_000)], true), None);
    assert_eq!(urgent_target_ms(&[(0, 500), (1, 5_999)], true), None);
    assert_eq!(urgent_target_ms(&[(0, 0), (1, 8_000)], true), None);
    assert_eq!(
        urgent_target_ms(&[(0, 1_500), (1, 600), (1, 2_500)], true),
        None
    );
}
