//! Declarations: the statements that describe the deployment.

use base::Instant;
use schema::settings::{
    Adapter, Caller, FailureDomain, Fleet, Limits, Model, Pool, Profile, Service,
    Store, Weights,
};

use super::ScriptError;
use super::line::Words;
use super::value::{
    parse_duration_ms, parse_duration_us, parse_float, parse_instant, parse_number,
    parse_number_u32, parse_yes_no, split_list,
};
use crate::script::{EntryDecl, InstanceDecl, Script};

/// End of a run if the script declares none. A later step extends the run.
const DEFAULT_END: Instant = Instant::from_ms(30_000);

/// The script before its first declaration, with the default settings.
pub(super) fn default_script() -> Script {
    Script {
        seed: 1,
        end: DEFAULT_END,
        fleet: Fleet {
            deployment: "scenario".into(),
            weights: Some(Weights {
                attainment: 1.0,
                move_cost: 1.0,
                min_residence_ms: 5_000,
                wait_max_ms: 20_000,
            }),
            store: Some(Store {
                loads_per_s: 2.0,
                full_speed_loads: 6,
                load_time_ms: 2_000,
            }),
            limits: Some(Limits::default()),
            ..Fleet::default()
        },
        ..Script::default()
    }
}

/// Parses one declaration and adds it to the script.
pub(super) fn parse_declaration(
    script: &mut Script,
    words: &mut Words<'_>,
) -> Result<(), ScriptError> {
    let word = words.next_word("a declaration")?;
    match word.text {
        "seed" => {
            let value = words.next_word("a number")?;
            script.seed = parse_number(words, value)?;
        }
        "end" => {
            let value = words.next_word("a time")?;
            script.end = parse_instant(words, value)?;
        }
        "entry" => parse_entry(script, words)?,
        "instance" => parse_instance(script, words)?,
        "pool" => parse_pool(&mut script.fleet, words)?,
        "model" => parse_model(&mut script.fleet, words)?,
        "models" => parse_models(&mut script.fleet, words)?,
        "adapter" => parse_adapter(&mut script.fleet, words)?,
        "profile" => parse_profile(&mut script.fleet, words)?,
        "service" => parse_service(&mut script.fleet, words)?,
        "caller" => parse_caller(&mut script.fleet, words)?,
        "weights" => parse_weights(&mut script.fleet, words)?,
        "store" => parse_store(&mut script.fleet, words)?,
        "limits" => parse_limits(&mut script.fleet, words)?,
        _ => return Err(words.error(word, "unknown declaration")),
    }
    Ok(())
}

/// Parses `domain=` and declares the failure domain if it is new.
fn parse_failure_domain(
    fleet: &mut Fleet,
    words: &mut Words<'_>,
) -> Result<String, ScriptError> {
    let name = words.required_value("domain")?.text.to_owned();
    fleet
        .failure_domains
        .entry(name.clone())
        .or_insert_with(|| FailureDomain {
            region: "region".into(),
        });
    Ok(name)
}

fn parse_entry(script: &mut Script, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next_word("a name")?.text.to_owned();
    let failure_domain = parse_failure_domain(&mut script.fleet, words)?;
    let starts_later = words.take_if("later");
    script.entries.push(EntryDecl {
        name,
        failure_domain,
        starts_later,
    });
    Ok(())
}

fn parse_instance(
    script: &mut Script,
    words: &mut Words<'_>,
) -> Result<(), ScriptError> {
    let name = words.next_word("a name")?.text.to_owned();
    let failure_domain = parse_failure_domain(&mut script.fleet, words)?;
    let word = words.required_value("pool")?;
    let Some(pool) = script.fleet.pools.get_mut(word.text) else {
        return Err(words.error(word, "no such pool declared above"));
    };
    pool.instances += 1;
    if !pool.failure_domains.contains(&failure_domain) {
        pool.failure_domains.push(failure_domain.clone());
    }
    script.instances.push(InstanceDecl {
        name,
        failure_domain,
        pool: word.text.to_owned(),
    });
    Ok(())
}

fn parse_pool(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next_word("a name")?.text.to_owned();
    let kind = words.next_word("`engine` or `service`")?;
    if !["engine", "service"].contains(&kind.text) {
        return Err(words.error(kind, "neither `engine` nor `service`"));
    }
    let mut pool = Pool {
        kind: kind.text.to_owned(),
        step_time_us: 10_000,
        concurrent_max: 8,
        checks_fencing: true,
        order_delay_max_ms: 5_000,
        ..Pool::default()
    };
    if kind.text == "engine" {
        pool.accelerators_mib = vec![81_920];
    }
    if let Some(word) = words.optional_value("memory") {
        pool.accelerators_mib = parse_accelerator_sizes(words, word)?;
    }
    if let Some(word) = words.optional_value("step") {
        let us = parse_duration_us(words, word)?;
        pool.step_time_us = u32::try_from(us).unwrap_or(u32::MAX);
    }
    if let Some(word) = words.optional_value("places") {
        pool.concurrent_max = parse_number_u32(words, word)?;
    }
    if let Some(word) = words.optional_value("fencing") {
        pool.checks_fencing = parse_yes_no(words, word)?;
    }
    if let Some(word) = words.optional_value("order-delay") {
        pool.order_delay_max_ms = parse_duration_ms_u32(words, word)?;
    }
    fleet.pools.insert(name, pool);
    Ok(())
}

fn parse_accelerator_sizes(
    words: &Words<'_>,
    word: super::line::Word<'_>,
) -> Result<Vec<u32>, ScriptError> {
    let sizes = split_list(word).into_iter().map(|size| size.parse().ok());
    sizes
        .collect::<Option<Vec<u32>>>()
        .ok_or_else(|| words.error(word, "not a list of sizes in MiB"))
}

fn parse_duration_ms_u32(
    words: &Words<'_>,
    word: super::line::Word<'_>,
) -> Result<u32, ScriptError> {
    let ms = parse_duration_ms(words, word)?;
    Ok(u32::try_from(ms).unwrap_or(u32::MAX))
}

fn parse_model_options(words: &mut Words<'_>) -> Result<Model, ScriptError> {
    let pool = words.required_value("pool")?.text.to_owned();
    let size = words.required_value("size")?;
    let size_mib = parse_number_u32(words, size)?;
    let version = match words.optional_value("version") {
        Some(word) => parse_number_u32(words, word)?,
        None => 1,
    };
    Ok(Model {
        size_mib,
        version,
        pool,
    })
}

fn parse_model(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next_word("a name")?.text.to_owned();
    let model = parse_model_options(words)?;
    fleet.models.insert(name, model);
    Ok(())
}

/// `models m count=40 …` declares `m1` to `m40`.
fn parse_models(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let prefix = words.next_word("the start of the names")?.text.to_owned();
    let count = words.required_value("count")?;
    let count = parse_number(words, count)?;
    let model = parse_model_options(words)?;
    for index in 1..=count {
        fleet
            .models
            .insert(format!("{prefix}{index}"), model.clone());
    }
    Ok(())
}

fn parse_adapter(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next_word("a name")?.text.to_owned();
    let base = words.required_value("base")?.text.to_owned();
    let size = words.required_value("size")?;
    let adapter = Adapter {
        base,
        size_mib: parse_number_u32(words, size)?,
        version: 1,
    };
    fleet.adapters.insert(name, adapter);
    Ok(())
}

fn parse_profile(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next_word("a name")?.text.to_owned();
    let kind = words.next_word("`interactive` or `batch`")?;
    if !["interactive", "batch"].contains(&kind.text) {
        return Err(words.error(kind, "neither `interactive` nor `batch`"));
    }
    let mut profile = Profile {
        kind: kind.text.to_owned(),
        deadline_ms: 20_000,
        priority: 1,
        value: 1.0,
        ..Profile::default()
    };
    match words.optional_value("models").map(split_list) {
        // `models=all` stands for all models and adapters declared above.
        Some(names) if names == ["all"] => {
            let all = fleet.models.keys().chain(fleet.adapters.keys());
            profile.models = all.cloned().collect();
        }
        Some(names) => profile.models = names,
        None => {}
    }
    if let Some(word) = words.optional_value("service") {
        profile.service = word.text.to_owned();
    }
    if let Some(word) = words.optional_value("first-token") {
        profile.first_token_ms = parse_duration_ms_u32(words, word)?;
    }
    if let Some(word) = words.optional_value("between") {
        profile.between_tokens_ms = parse_duration_ms_u32(words, word)?;
    }
    if let Some(word) = words.optional_value("deadline") {
        profile.deadline_ms = parse_duration_ms_u32(words, word)?;
    }
    if let Some(word) = words.optional_value("priority") {
        profile.priority = parse_number_u32(words, word)?;
    }
    if let Some(word) = words.optional_value("value") {
        profile.value = parse_float(words, word)?;
    }
    fleet.profiles.insert(name, profile);
    Ok(())
}

fn parse_service(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next_word("a name")?.text.to_owned();
    let pool = words.required_value("pool")?.text.to_owned();
    let timeout = match words.optional_value("timeout") {
        Some(word) => parse_duration_ms_u32(words, word)?,
        None => 2_000,
    };
    let word = words.next_word("`idempotent` or `once`")?;
    let idempotent = match word.text {
        "idempotent" => true,
        "once" => false,
        _ => return Err(words.error(word, "neither `idempotent` nor `once`")),
    };
    let service = Service {
        pool,
        idempotent,
        timeout_ms: timeout,
    };
    fleet.services.insert(name, service);
    Ok(())
}

fn parse_caller(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next_word("a name")?.text.to_owned();
    let concurrent_max = match words.optional_value("concurrent") {
        Some(word) => parse_number_u32(words, word)?,
        None => 1_000,
    };
    let caller = Caller {
        key_sha256: conf::sha256_hex(&format!("key-{name}")),
        concurrent_max,
    };
    fleet.callers.insert(name, caller);
    Ok(())
}

fn parse_weights(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let mut weights = fleet.weights.unwrap_or_default();
    if let Some(word) = words.optional_value("attainment") {
        weights.attainment = parse_float(words, word)?;
    }
    if let Some(word) = words.optional_value("move-cost") {
        weights.move_cost = parse_float(words, word)?;
    }
    if let Some(word) = words.optional_value("min-residence") {
        weights.min_residence_ms = parse_duration_ms_u32(words, word)?;
    }
    if let Some(word) = words.optional_value("wait-max") {
        weights.wait_max_ms = parse_duration_ms_u32(words, word)?;
    }
    fleet.weights = Some(weights);
    Ok(())
}

fn parse_store(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let mut store = fleet.store.unwrap_or_default();
    if let Some(word) = words.optional_value("loads-per-s") {
        store.loads_per_s = parse_float(words, word)?;
    }
    if let Some(word) = words.optional_value("full-speed") {
        store.full_speed_loads = parse_number_u32(words, word)?;
    }
    if let Some(word) = words.optional_value("load-time") {
        store.load_time_ms = parse_duration_ms_u32(words, word)?;
    }
    fleet.store = Some(store);
    Ok(())
}

fn parse_limits(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let mut limits = fleet.limits.unwrap_or_default();
    if let Some(word) = words.optional_value("waiting") {
        limits.waiting_max = parse_number_u32(words, word)?;
    }
    if let Some(word) = words.optional_value("retry-percent") {
        limits.retry_percent = parse_number_u32(words, word)?;
    }
    if let Some(word) = words.optional_value("verdict") {
        limits.verdict_ms = parse_duration_ms_u32(words, word)?;
    }
    if let Some(word) = words.optional_value("heartbeat") {
        limits.heartbeat_ms = parse_duration_ms_u32(words, word)?;
    }
    if let Some(word) = words.optional_value("claim-retention") {
        limits.claim_retention_ms = parse_duration_ms_u32(words, word)?;
    }
    fleet.limits = Some(limits);
    Ok(())
}
