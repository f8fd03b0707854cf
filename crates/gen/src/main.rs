//! Generates the code of the `schema` crate from its proto files.
//!
//! Run `cargo run -p schema-gen` after changing a file under
//! `crates/schema/proto`. With `--check` the committed code is only compared, and
//! the exit code is 1 if it is out of date.

use prost::Message as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const PROTO_NAMES: [&str; 5] = ["settings", "link", "store", "timeline", "peer"];

fn main() -> ExitCode {
    let check = std::env::args().any(|arg| arg == "--check");
    let schema = Path::new(env!("CARGO_MANIFEST_DIR")).join("../schema");
    let committed = schema.join("src/generated");
    let target = if check {
        std::env::temp_dir().join(format!("sesame-schema-{}", std::process::id()))
    } else {
        committed.clone()
    };
    if let Err(message) = generate(&schema.join("proto"), &target) {
        eprintln!("schema-gen: {message}");
        return ExitCode::FAILURE;
    }
    if !check {
        return ExitCode::SUCCESS;
    }
    let up_to_date = PROTO_NAMES.iter().all(|name| {
        let file = format!("sesame.{name}.rs");
        std::fs::read(committed.join(&file)).ok()
            == std::fs::read(target.join(&file)).ok()
    });
    // The result of the check does not depend on whether the cleanup succeeds.
    let _ = std::fs::remove_dir_all(&target);
    if up_to_date {
        return ExitCode::SUCCESS;
    }
    eprintln!(
        "schema-gen: the generated code is out of date; run `cargo run -p schema-gen`"
    );
    ExitCode::FAILURE
}

fn generate(proto: &Path, target: &PathBuf) -> Result<(), String> {
    std::fs::create_dir_all(target).map_err(|error| error.to_string())?;
    let files = PROTO_NAMES.map(|name| format!("{name}.proto"));
    let descriptors =
        protox::compile(files, [proto]).map_err(|error| error.to_string())?;
    let mut config = prost_build::Config::new();
    config.btree_map(["."]);
    config.out_dir(target);
    let derive = "#[derive(serde::Serialize, serde::Deserialize)]";
    for package in [".sesame.settings", ".sesame.timeline", ".sesame.link"] {
        config.type_attribute(package, derive);
    }
    for package in [".sesame.settings", ".sesame.timeline"] {
        config.message_attribute(package, "#[serde(default, deny_unknown_fields)]");
    }
    config
        .compile_fds(descriptors.clone())
        .map_err(|error| error.to_string())?;
    let fields = render_field_table(&descriptors.encode_to_vec())?;
    let table = target.join("sesame.settings.rs");
    let mut code =
        std::fs::read_to_string(&table).map_err(|error| error.to_string())?;
    code.push_str(&fields);
    std::fs::write(&table, code).map_err(|error| error.to_string())
}

/// Renders the table of settings fields, against which `conf` validates documents.
fn render_field_table(descriptors: &[u8]) -> Result<String, String> {
    let set = prost_reflect::DescriptorPool::decode(descriptors)
        .map_err(|error| error.to_string())?;
    let mut code = String::from(
        "/// Descriptors of all settings messages, for the validation of documents.\n\
         pub static MESSAGES: &[crate::MessageDescriptor] = &[\n",
    );
    for message in set.all_messages() {
        if message.package_name() != "sesame.settings" || message.is_map_entry() {
            continue;
        }
        code.push_str(&format!(
            "    crate::MessageDescriptor {{\n        name: {:?},\n        fields: &[\n",
            message.name()
        ));
        for field in message.fields() {
            code.push_str(&format!(
                "            crate::FieldDescriptor {{ name: {:?}, kind: {}, cardinality: {} }},\n",
                field.name(),
                render_kind(&field),
                render_cardinality(&field)
            ));
        }
        code.push_str("        ],\n    },\n");
    }
    code.push_str("];\n");
    Ok(code)
}

fn render_kind(field: &prost_reflect::FieldDescriptor) -> String {
    use prost_reflect::Kind;
    let kind = match field.kind() {
        Kind::Message(entry) if field.is_map() => entry.map_entry_value_field().kind(),
        kind => kind,
    };
    match kind {
        Kind::Message(message) => {
            format!("crate::FieldKind::Message({:?})", message.name())
        }
        Kind::String => "crate::FieldKind::String".into(),
        Kind::Bool => "crate::FieldKind::Bool".into(),
        Kind::Double => "crate::FieldKind::Double".into(),
        Kind::Uint32 => "crate::FieldKind::Uint32".into(),
        _ => "crate::FieldKind::Uint64".into(),
    }
}

fn render_cardinality(field: &prost_reflect::FieldDescriptor) -> &'static str {
    if field.is_map() {
        "crate::Cardinality::Map"
    } else if field.is_list() {
        "crate::Cardinality::List"
    } else {
        "crate::Cardinality::Single"
    }
}
