//! Commands against the stand-in of the platform, over its protocol.

use ctl::{CtlError, Exit, Report, commands, options};
use fake::platform::{Faults, Outage, PlatformOptions};
use prost::Message;
use schema::store::Member;
use serde_json::{Value, json};

use crate::members::process;

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
        .expect("good arguments");
    commands::run(command).await
}

#[tokio::test]
async fn a_file_is_published_shown_and_compared() {
    let platform = platform().await;
    let at = platform.address.to_string();
    let empty = run(&["show", "--platform", &at]).await;
    assert!(
        matches!(empty, Err(CtlError::NothingPublished)),
        "{empty:?}"
    );
    let publish = ["publish", "--platform", &at, FILE];
    let report = run(&publish).await.expect("published");
    assert_eq!(report.exit, Exit::Ok, "{}", report.text);
    let again = run(&publish).await.expect("asked");
    assert!(again.text.starts_with("no change"), "{}", again.text);
    let diff = run(&["diff", "--platform", &at, "--json", FILE]).await;
    assert_eq!(diff.expect("compared").text, "[]\n");
    let shown = run(&["show", "--platform", &at]).await.expect("shown");
    assert!(shown.text.starts_with("// revision 1\n"));
    conf::check_fleet(&shown.text).expect("what is shown can be published again");
}

/// The write takes effect and its connection breaks, or it breaks before, or
/// the platform is away. The operator learns which, and one revision at most is
/// there.
#[tokio::test]
async fn publishing_meets_the_faults_of_the_platform() {
    let faults = |lose_answers, lose_writes, outage| Faults {
        lose_answers,
        lose_writes,
        outage,
        ..Faults::default()
    };
    let cases = [
        ("answer lost", faults(1, 0, Outage::None), Exit::Ok, 1),
        ("write lost", faults(0, 1, Outage::None), Exit::Ok, 1),
        (
            "all writes lost",
            faults(0, 99, Outage::None),
            Exit::Unknown,
            0,
        ),
        (
            "refused",
            faults(0, 0, Outage::Refuse),
            Exit::Unreachable,
            0,
        ),
        ("closed", faults(0, 0, Outage::Close), Exit::Unreachable, 0),
    ];
    for (name, faults, exit, held) in cases {
        let platform = platform().await;
        let at = platform.address.to_string();
        platform.set_faults(faults);
        let ended = match run(&["publish", "--platform", &at, FILE]).await {
            Ok(report) => report.exit,
            Err(error) => error.exit(),
        };
        assert_eq!(ended, exit, "{name}");
        assert_eq!(platform.object_keys("config/").len(), held, "{name}");
    }
}

async fn register(at: &str, id: &str, operator_address: &str) {
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
    let platform = plat::HttpPlatform::new(at.parse().expect("an address"));
    let result = plat::ObjectApi::call(&platform, &op).await;
    assert!(matches!(result, base::PlatformResult::Written(_)));
}

/// One process is behind: the change is accepted, but not in force everywhere,
/// and the operator sees where it is not.
#[tokio::test]
async fn waiting_tells_where_a_revision_is_in_force() {
    let platform = platform().await;
    let at = platform.address.to_string();
    let publish = ["publish", "--wait", "--wait-ms", "0", "--json"];
    let publish = [&publish[..], &["--platform", &at, FILE]].concat();
    let nobody = run(&publish).await.expect("published");
    assert_eq!(nobody.exit, Exit::NotEverywhere, "nobody has it");

    let new = process("agent-1", 1, json!([])).await;
    register(&at, "agent-1", &new.address.to_string()).await;
    let all = run(&publish).await.expect("asked");
    assert_eq!(all.exit, Exit::Ok, "{}", all.text);
    let all: Value = serde_json::from_str(&all.text).expect("JSON");
    assert_eq!(all["in_force_everywhere"], true);
    assert_eq!(all["members"][0]["status"]["revision"], 1);

    let old = process("agent-2", 0, json!([])).await;
    register(&at, "agent-2", &old.address.to_string()).await;
    let some = run(&publish).await.expect("asked");
    assert_eq!(some.exit, Exit::NotEverywhere, "{}", some.text);
    let status = run(&["status", "--platform", &at]).await.expect("asked");
    assert_eq!(status.exit, Exit::Ok);
    assert_eq!(status.text.lines().count(), 3, "{}", status.text);
}
