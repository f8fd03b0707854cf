//! Checks of documents: each kind of error, and several errors at once.

use base::ErrorCode;
use conf::{
    Diagnostic, check_agent_settings, check_entry_settings, check_fleet,
    check_fleet_value,
};

const FLEET: &str = r#"// A small fleet.
{
  "deployment": "small",
  "failure_domains": { "fd-a": {}, "fd-b": { "region": "north" } },
  "pools": {
    "engines": {
      "kind": "engine",
      "instances": 2,
      "failure_domains": ["fd-a", "fd-b"],
      "accelerators_mib": [40960, 81920],
      "step_time_us": 10000,
      "concurrent_max": 32,
      "checks_fencing": true,
      "order_delay_max_ms": 10000,
    },
    "desk": {
      "kind": "service",
      "instances": 1,
      "failure_domains": ["fd-a"],
      "concurrent_max": 64,
    },
  },
  "models": {
    "oracle-a": { "size_mib": 66560, "version": 1, "pool": "engines" },
  },
  "adapters": {
    "oracle-a-kin": { "base": "oracle-a", "size_mib": 256, "version": 1 },
  },
  "profiles": {
    "diagnosis": {
      "kind": "interactive",
      "models": ["oracle-a", "oracle-a-kin"],
      "first_token_ms": 1500,
      "deadline_ms": 30000,
      "value": 10.0,
    },
    "order": {
      "kind": "interactive",
      "service": "parts-order",
      "deadline_ms": 10000,
      "value": 1,
    },
  },
  "services": {
    "parts-order": { "pool": "desk", "idempotent": false, "timeout_ms": 5000 },
  },
  "callers": {
    "desk": {
      "key_sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
      "concurrent_max": 8,
    },
  },
  "weights": {
    "attainment": 1.0, "move_cost": 0, "min_residence_ms": 0, "wait_max_ms": 1000,
  },
  "store": { "loads_per_s": 2, "full_speed_loads": 6, "load_time_ms": 2000 },
  "limits": {},
}
"#;

const ENTRY: &str = r#"{
  "id": "entry-1",
  "failure_domain": "fd-a",
  "caller_listen": "127.0.0.1:0",
  "link_listen": "127.0.0.1:0",
  "operator_listen": "[::1]:0",
  "platform": "127.0.0.1:7900",
  "peers": { "entry-2": "127.0.0.1:7011" },
}
"#;

const AGENT: &str = r#"{
  "id": "agent-1",
  "failure_domain": "fd-a",
  "pool": "engines",
  "link_listen": "127.0.0.1:0",
  "operator_listen": "127.0.0.1:0",
  "platform": "127.0.0.1:7900",
  "upstream": "127.0.0.1:7200",
}
"#;

/// One replacement in a valid document, and the expected diagnostic.
struct Case {
    from: &'static str,
    to: &'static str,
    code: ErrorCode,
    path: &'static str,
}

const fn case(
    from: &'static str,
    to: &'static str,
    code: ErrorCode,
    path: &'static str,
) -> Case {
    Case {
        from,
        to,
        code,
        path,
    }
}

fn replaced(text: &str, from: &str, to: &str) -> String {
    assert_eq!(text.matches(from).count(), 1, "{from} must occur once");
    text.replace(from, to)
}

/// Asserts that each replacement results in exactly its one diagnostic.
fn check_cases<T>(
    text: &str,
    cases: &[Case],
    check: impl Fn(&str) -> Result<T, Vec<Diagnostic>>,
) {
    for Case {
        from,
        to,
        code,
        path,
    } in cases
    {
        let changed = replaced(text, from, to);
        let Err(diagnostics) = check(&changed) else {
            panic!("{to}: no diagnostic");
        };
        let reported: Vec<_> = diagnostics
            .iter()
            .map(|f| (f.code, f.path.as_str()))
            .collect();
        assert_eq!(reported, [(*code, *path)], "{to}: {diagnostics:?}");
    }
}

#[test]
fn valid_documents_have_no_diagnostics() {
    let (fleet, value) = check_fleet(FLEET).expect("the fleet is valid");
    assert_eq!(fleet.models["oracle-a"].size_mib, 66_560);
    assert_eq!(check_fleet_value(&value), []);
    check_entry_settings(ENTRY).expect("the entry's settings are valid");
    check_agent_settings(AGENT).expect("the agent's settings are valid");
}

#[test]
fn defaults_are_filled_in() {
    let entry = check_entry_settings(ENTRY).expect("valid settings");
    assert_eq!(entry.request_shards, 8);
    assert_eq!(entry.worker_threads, 4);
    assert_eq!(entry.log_level, "info");
    assert_eq!(entry.timeline_events, 20_000);
    let agent = check_agent_settings(AGENT).expect("valid settings");
    assert_eq!(agent.worker_threads, 4);
    assert_eq!(agent.log_level, "info");
    assert_eq!(agent.timeline_events, 20_000);
}

/// Guards against refusing settings that a program writes in full: zero stands for a limit
/// that is left to the machine.
#[test]
fn limits_of_zero_are_left_to_the_machine() {
    let text =
        ENTRY.replace(r#""id""#, r#""memory_mib": 0, "descriptors_max": 0, "id""#);
    let entry = check_entry_settings(&text).expect("valid settings");
    assert_eq!((entry.memory_mib, entry.descriptors_max), (0, 0));
}

#[test]
fn each_fleet_error_is_reported_once() {
    use ErrorCode::*;
    #[rustfmt::skip]
    let cases = [
        // Schema.
        case(r#""size_mib": 66560"#, r#""size_mib": 66560,,"#, BadSyntax, ""),
        case(r#""size_mib": 66560"#, r#"size_mib: 66560"#, BadSyntax, ""),
        case(r#""size_mib": 66560"#, r#""size_gib": 65"#, WrongUnit, "models.oracle-a.size_gib"),
        case(r#""size_mib": 66560"#, r#""size": 65"#, WrongUnit, "models.oracle-a.size"),
        case(r#""deadline_ms": 30000"#, r#""deadline_s": 30"#, WrongUnit, "profiles.diagnosis.deadline_s"),
        case(r#""step_time_us""#, r#""step_time_ms""#, WrongUnit, "pools.engines.step_time_ms"),
        case(r#""instances": 2"#, r#""instnaces": 2"#, UnknownKey, "pools.engines.instnaces"),
        case(r#""instances": 2"#, r#""instances": 2, "colour": 1"#, UnknownKey, "pools.engines.colour"),
        case(r#""instances": 2"#, r#""instances": 2, "instances": 3"#, DuplicateName, "pools.engines.instances"),
        case(r#""instances": 2"#, r#""instances": "2""#, WrongType, "pools.engines.instances"),
        case(r#""instances": 2"#, r#""instances": 2.5"#, WrongType, "pools.engines.instances"),
        case(r#""instances": 2"#, r#""instances": null"#, WrongType, "pools.engines.instances"),
        case(r#""instances": 2"#, r#""instances": [2]"#, WrongType, "pools.engines.instances"),
        case(r#""instances": 2"#, r#""instances": -2"#, OutOfRange, "pools.engines.instances"),
        case(r#""instances": 2"#, r#""instances": 4294967296"#, OutOfRange, "pools.engines.instances"),
        case(r#""instances": 2"#, r#""instances": 1e999"#, OutOfRange, "pools.engines.instances"),
        case(r#""models": ["oracle-a", "oracle-a-kin"]"#, r#""models": {}"#, WrongType, "profiles.diagnosis.models"),
        case(r#"["oracle-a", "oracle-a-kin"]"#, r#"["oracle-a", 7]"#, WrongType, "profiles.diagnosis.models[1]"),
        case(r#""limits": {}"#, r#""limits": []"#, WrongType, "limits"),
        // Pools.
        case(r#""kind": "engine""#, r#""kind": "motor""#, OutOfRange, "pools.engines.kind"),
        case(r#""instances": 2"#, r#""instances": 0"#, OutOfRange, "pools.engines.instances"),
        case(r#""instances": 2,"#, "", MissingKey, "pools.engines.instances"),
        case(r#""order_delay_max_ms": 10000,"#, "", MissingKey, "pools.engines.order_delay_max_ms"),
        case(r#""checks_fencing": true,"#, "", MissingKey, "pools.engines.checks_fencing"),
        case(r#"["fd-a", "fd-b"]"#, r#"["fd-a", "fd-c"]"#, MissingReference, "pools.engines.failure_domains[1]"),
        case(r#"["fd-a", "fd-b"]"#, r#"["fd-a", "fd-a"]"#, DuplicateName, "pools.engines.failure_domains[1]"),
        case(r#"["fd-a", "fd-b"]"#, r#"[]"#, OutOfRange, "pools.engines.failure_domains"),
        case(r#""failure_domains": ["fd-a"],"#, r#""failure_domains": ["fd-a"], "accelerators_mib": [1],"#, OutOfRange, "pools.desk.accelerators_mib"),
        // Models and adapters.
        case("66560", "81921", ModelTooLarge, "models.oracle-a.size_mib"),
        case(r#""size_mib": 256"#, r#""size_mib": 15361"#, ModelTooLarge, "adapters.oracle-a-kin.size_mib"),
        case(r#""pool": "engines""#, r#""pool": "motors""#, MissingReference, "models.oracle-a.pool"),
        case(r#""pool": "engines""#, r#""pool": "desk""#, MissingReference, "models.oracle-a.pool"),
        case(r#""base": "oracle-a""#, r#""base": "oracle-b""#, MissingReference, "adapters.oracle-a-kin.base"),
        case(r#""adapters": {"#, r#""adapters": { "oracle-a": { "base": "oracle-a", "size_mib": 1, "version": 1 },"#, DuplicateName, "adapters.oracle-a"),
        case(r#""oracle-a": {"#, r#""oracle b": { "size_mib": 1, "version": 1, "pool": "engines" }, "oracle-a": {"#, OutOfRange, "models.\"oracle b\""),
        // Profiles and services.
        case(r#"["oracle-a", "oracle-a-kin"]"#, r#"["oracle-b"]"#, MissingReference, "profiles.diagnosis.models[0]"),
        case(r#"["oracle-a", "oracle-a-kin"]"#, r#"["oracle-a", "oracle-a"]"#, DuplicateName, "profiles.diagnosis.models[1]"),
        case(r#""service": "parts-order""#, r#""service": "parts""#, MissingReference, "profiles.order.service"),
        case(r#""service": "parts-order","#, "", MissingKey, "profiles.order.service"),
        case(r#""service": "parts-order""#, r#""service": "parts-order", "models": ["oracle-a"]"#, OutOfRange, "profiles.order.service"),
        case(r#""first_token_ms": 1500"#, r#""first_token_ms": 30001"#, OutOfRange, "profiles.diagnosis.first_token_ms"),
        case(r#""value": 10.0"#, r#""value": 0"#, OutOfRange, "profiles.diagnosis.value"),
        case(r#""idempotent": false, "#, "", MissingKey, "services.parts-order.idempotent"),
        case(r#""pool": "desk""#, r#""pool": "engines""#, MissingReference, "services.parts-order.pool"),
        // Deployment, callers, weights, store and limits.
        case(r#""deployment": "small","#, "", MissingKey, "deployment"),
        case(r#""key_sha256": "a"#, r#""key_sha256": "x"#, OutOfRange, "callers.desk.key_sha256"),
        case(r#""callers": {"#, r#""callers": { "twin": { "key_sha256": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", "concurrent_max": 8 },"#, DuplicateName, "callers.twin.key_sha256"),
        case(r#""move_cost": 0"#, r#""move_cost": -1"#, OutOfRange, "weights.move_cost"),
        case(r#""move_cost": 0,"#, "", MissingKey, "weights.move_cost"),
        case(r#""loads_per_s": 2"#, r#""loads_per_s": 0"#, OutOfRange, "store.loads_per_s"),
        case(r#""limits": {}"#, r#""limits": { "retry_percent": 101 }"#, OutOfRange, "limits.retry_percent"),
        case(r#""limits": {}"#, r#""limits": { "frame_max_bytes": 65536 }"#, OutOfRange, "limits.frame_max_bytes"),
        case(r#""limits": {}"#, r#""limits": { "body_max_bytes": 4194304 }"#, OutOfRange, "limits.frame_max_bytes"),
    ];
    check_cases(FLEET, &cases, check_fleet);
}

#[test]
fn each_settings_error_is_reported_once() {
    use ErrorCode::*;
    #[rustfmt::skip]
    let cases = [
        case(r#""id": "entry-1","#, "", MissingKey, "id"),
        case(r#""id": "entry-1""#, r#""id": "../1""#, OutOfRange, "id"),
        case(r#""127.0.0.1:7900""#, r#""platform:7900""#, BadAddress, "platform"),
        case(r#""127.0.0.1:7900""#, r#""127.0.0.1:0""#, BadAddress, "platform"),
        case(r#""127.0.0.1:7011""#, r#""127.0.0.1""#, BadAddress, "peers.entry-2"),
        case(r#""id""#, r#""request_shards": 12, "id""#, OutOfRange, "request_shards"),
        case(r#""id""#, r#""worker_threads": 0, "id""#, OutOfRange, "worker_threads"),
        case(r#""id""#, r#""log_level": "loud", "id""#, OutOfRange, "log_level"),
        case(r#""id""#, r#""memory_mib": 63, "id""#, OutOfRange, "memory_mib"),
        case(r#""id""#, r#""descriptors_max": 63, "id""#, OutOfRange, "descriptors_max"),
        case(r#""id""#, r#""upstream": "127.0.0.1:1", "id""#, UnknownKey, "upstream"),
    ];
    check_cases(ENTRY, &cases, check_entry_settings);
    #[rustfmt::skip]
    let cases = [
        case(r#""pool": "engines","#, "", MissingKey, "pool"),
        case(r#""127.0.0.1:7200""#, r#""127.0.0.1:0""#, BadAddress, "upstream"),
        case(r#""pool""#, r#""timeline_events": 1000001, "pool""#, OutOfRange, "timeline_events"),
    ];
    check_cases(AGENT, &cases, check_agent_settings);
}

/// The operator can correct all errors at once: errors found by the schema and by
/// the rules are reported together, in the order of the text, each at its position.
#[test]
fn all_errors_are_reported_together() {
    let changes = [
        (r#""deployment": "small","#, r#""deployment": 1,"#),
        (r#""step_time_us": 10000"#, r#""step_time_ms": 10"#),
        (r#""size_mib": 66560"#, r#""size_mib": 90000"#),
        (r#""base": "oracle-a""#, r#""base": "gone""#),
        (
            r#"["oracle-a", "oracle-a-kin"]"#,
            r#"["gone", "oracle-a-kin"]"#,
        ),
        (
            r#""timeout_ms": 5000"#,
            r#""timeout_ms": 5000, "retries": 3"#,
        ),
        (r#""loads_per_s": 2"#, r#""loads_per_s": -2"#),
    ];
    let text = changes.iter().fold(FLEET.to_owned(), |text, (from, to)| {
        replaced(&text, from, to)
    });
    let diagnostics = check_fleet(&text).expect_err("seven errors");
    let reported: Vec<_> = diagnostics
        .iter()
        .map(|diagnostic| {
            (
                diagnostic.code,
                diagnostic.line,
                diagnostic.column,
                diagnostic.path.as_str(),
            )
        })
        .collect();
    let expected = [
        (ErrorCode::WrongType, 3, 17, "deployment"),
        (ErrorCode::WrongUnit, 11, 7, "pools.engines.step_time_ms"),
        (ErrorCode::ModelTooLarge, 24, 31, "models.oracle-a.size_mib"),
        (
            ErrorCode::MissingReference,
            27,
            31,
            "adapters.oracle-a-kin.base",
        ),
        (
            ErrorCode::MissingReference,
            32,
            18,
            "profiles.diagnosis.models[0]",
        ),
        (
            ErrorCode::UnknownKey,
            45,
            79,
            "services.parts-order.retries",
        ),
        (ErrorCode::OutOfRange, 56, 29, "store.loads_per_s"),
    ];
    assert_eq!(reported, expected, "{diagnostics:?}");
}

#[test]
fn an_unknown_key_suggests_the_nearest_known_key() {
    let text = replaced(FLEET, r#""instances": 2"#, r#""instnaces": 2"#);
    let diagnostics = check_fleet(&text).expect_err("an unknown key");
    assert!(
        diagnostics[0].message.contains("`instances`"),
        "{diagnostics:?}"
    );
}

/// A patch with valid values may still result in an invalid document, here one with
/// references to a removed model.
#[test]
fn a_patched_document_is_checked_without_line_numbers() {
    let (_, mut document) = check_fleet(FLEET).expect("the fleet is valid");
    let patch = serde_json::json!({ "models": { "oracle-a": null } });
    conf::merge_patch::apply(&mut document, &patch);
    let diagnostics = check_fleet_value(&document);
    let reported: Vec<_> = diagnostics
        .iter()
        .map(|f| (f.line, f.path.as_str()))
        .collect();
    let expected = [
        (0, "adapters.oracle-a-kin.base"),
        (0, "profiles.diagnosis.models[0]"),
    ];
    assert_eq!(reported, expected);
}
