//! Commands against the fake platform, over its protocol.

use ctl::{CtlError, ExitStatus, Report, commands, options};
use fake::platform::{Faults, Outage, PlatformOptions};
use prost::Message;
use schema::store::Member;
use serde_json::{Value, json};

use crate::members::start_process;

const FILE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../deploy/harbourline.jsonc"
);

async fn platform() -> fake::Handle<fake::platform::Platform> {
    fake::platform::start(PlatformOptions::default())
        .await
        .expect("a free port")
}

async fn run(arguments: &[&str]) -> Result<Report, CtlError> {
    let command = options::parser()
        .run_inner(arguments)
        .expect("valid arguments");
    commands::run(command).await
}

#[tokio::test]
async fn a_file_is_published_shown_and_diffed() {
    let platform = platform().await;
    let address = platform.address.to_string();
    let empty = run(&["show", "--platform", &address]).await;
    assert!(
        matches!(empty, Err(CtlError::NothingPublished)),
        "{empty:?}"
    );
    let publish = ["publish", "--platform", &address, FILE];
    let report = run(&publish).await.expect("published");
    assert_eq!(report.exit_status, ExitStatus::Ok, "{}", report.text);
    let again = run(&publish).await.expect("asked");
    assert!(again.text.starts_with("no change"), "{}", again.text);
    let diff = run(&["diff", "--platform", &address, "--json", FILE]).await;
    assert_eq!(diff.expect("compared").text, "[]\n");
    let shown = run(&["show", "--platform", &address]).await.expect("shown");
    assert!(shown.text.starts_with("// revision 1\n"));
    conf::check_fleet(&shown.text).expect("what is shown can be published again");
}

/// The response of the write is lost, the write itself is lost, or the platform
/// refuses calls. The exit code says which, and at most one revision is
/// created.
#[tokio::test]
async fn publishing_reports_the_faults_of_the_platform() {
    let faults = |lose_answers, lose_writes, outage| Faults {
        lose_answers,
        lose_writes,
        outage,
        ..Faults::default()
    };
    let cases = [
        (
            "response lost",
            faults(1, 0, Outage::None),
            ExitStatus::Ok,
            1,
        ),
        ("write lost", faults(0, 1, Outage::None), ExitStatus::Ok, 1),
        (
            "all writes lost",
            faults(0, 99, Outage::None),
            ExitStatus::Unknown,
            0,
        ),
        (
            "refused",
            faults(0, 0, Outage::Refuse),
            ExitStatus::Unreachable,
            0,
        ),
        (
            "closed",
            faults(0, 0, Outage::Close),
            ExitStatus::Unreachable,
            0,
        ),
    ];
    for (name, faults, expected, revisions) in cases {
        let platform = platform().await;
        let address = platform.address.to_string();
        platform.set_faults(faults);
        let exit_status = match run(&["publish", "--platform", &address, FILE]).await {
            Ok(report) => report.exit_status,
            Err(error) => error.exit_status(),
        };
        assert_eq!(exit_status, expected, "{name}");
        assert_eq!(platform.object_keys("config/").len(), revisions, "{name}");
    }
}

async fn register(address: &str, id: &str, operator_address: &str) {
    let member = Member {
        kind: "agent".to_owned(),
        id: id.to_owned(),
        operator_address: operator_address.to_owned(),
        ..Member::default()
    };
    let op = base::PlatformOp::Write {
        key: format!("live/agent/{id}"),
        precondition: base::Precondition::Absent,
        value: member.encode_to_vec(),
    };
    let platform = plat::HttpPlatform::new(address.parse().expect("an address"));
    let result = plat::ObjectApi::call(&platform, &op).await;
    assert!(matches!(result, base::PlatformResult::Written(_)));
}

/// One process does not have the revision yet: the change is accepted, but not
/// in force everywhere, and the output names the process.
#[tokio::test]
async fn waiting_reports_where_a_revision_is_in_force() {
    let platform = platform().await;
    let address = platform.address.to_string();
    let publish = ["publish", "--wait", "--wait-ms", "0", "--json"];
    let publish = [&publish[..], &["--platform", &address, FILE]].concat();
    let none_registered = run(&publish).await.expect("published");
    assert_eq!(
        none_registered.exit_status,
        ExitStatus::NotInForceEverywhere,
        "no process has it"
    );

    let updated = start_process("agent-1", 1, json!([])).await;
    register(&address, "agent-1", &updated.address.to_string()).await;
    let all = run(&publish).await.expect("asked");
    assert_eq!(all.exit_status, ExitStatus::Ok, "{}", all.text);
    let all: Value = serde_json::from_str(&all.text).expect("JSON");
    assert_eq!(all["in_force_everywhere"], true);
    assert_eq!(all["members"][0]["status"]["revision"], 1);

    let outdated = start_process("agent-2", 0, json!([])).await;
    register(&address, "agent-2", &outdated.address.to_string()).await;
    let some = run(&publish).await.expect("asked");
    assert_eq!(
        some.exit_status,
        ExitStatus::NotInForceEverywhere,
        "{}",
        some.text
    );
    let status = run(&["status", "--platform", &address])
        .await
        .expect("asked");
    assert_eq!(status.exit_status, ExitStatus::Ok);
    assert_eq!(status.text.lines().count(), 3, "{}", status.text);
}
