//! Declarations: the deployment a script is about.

use base::Instant;
use schema::settings::{
    Adapter, Caller, FailureDomain, Fleet, Limits, Model, Pool, Profile, Service,
    Store, Weights,
};

use super::ScriptError;
use super::line::Words;
use super::value::{
    duration_ms, duration_us, fraction, instant, list, number, number32, yes_no,
};
use crate::script::{EntryDecl, InstanceDecl, Script};

/// Time a run goes on unless the script says otherwise.
const DEFAULT_END: Instant = Instant::from_ms(30_000);

/// A script that declares nothing.
pub(super) fn empty() -> Script {
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

/// Reads one declaration into the script.
pub(super) fn declaration(
    script: &mut Script,
    words: &mut Words<'_>,
) -> Result<(), ScriptError> {
    let word = words.next("a declaration")?;
    match word.text {
        "seed" => {
            let value = words.next("a number")?;
            script.seed = number(words, value)?;
        }
        "end" => {
            let value = words.next("a time")?;
            script.end = instant(words, value)?;
        }
        "entry" => entry(script, words)?,
        "instance" => instance(script, words)?,
        "pool" => pool(&mut script.fleet, words)?,
        "model" => model(&mut script.fleet, words)?,
        "models" => models(&mut script.fleet, words)?,
        "adapter" => adapter(&mut script.fleet, words)?,
        "profile" => profile(&mut script.fleet, words)?,
        "service" => service(&mut script.fleet, words)?,
        "caller" => caller(&mut script.fleet, words)?,
        "weights" => weights(&mut script.fleet, words)?,
        "store" => store(&mut script.fleet, words)?,
        "limits" => limits(&mut script.fleet, words)?,
        _ => return Err(words.error(word, "unknown declaration")),
    }
    Ok(())
}

fn domain(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<String, ScriptError> {
    let name = words.needed("domain")?.text.to_owned();
    fleet
        .failure_domains
        .entry(name.clone())
        .or_insert_with(|| FailureDomain {
            region: "region".into(),
        });
    Ok(name)
}

fn entry(script: &mut Script, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next("a name")?.text.to_owned();
    let domain = domain(&mut script.fleet, words)?;
    let later = words.flag("later");
    script.entries.push(EntryDecl {
        name,
        domain,
        later,
    });
    Ok(())
}

fn instance(script: &mut Script, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next("a name")?.text.to_owned();
    let domain = domain(&mut script.fleet, words)?;
    let word = words.needed("pool")?;
    let Some(pool) = script.fleet.pools.get_mut(word.text) else {
        return Err(words.error(word, "no such pool declared above"));
    };
    pool.instances += 1;
    if !pool.failure_domains.contains(&domain) {
        pool.failure_domains.push(domain.clone());
    }
    script.instances.push(InstanceDecl {
        name,
        domain,
        pool: word.text.to_owned(),
    });
    Ok(())
}

fn pool(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next("a name")?.text.to_owned();
    let kind = words.next("`engine` or `service`")?;
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
    if let Some(word) = words.named("memory") {
        pool.accelerators_mib = memory(words, word)?;
    }
    if let Some(word) = words.named("step") {
        let us = duration_us(words, word)?;
        pool.step_time_us = u32::try_from(us).unwrap_or(u32::MAX);
    }
    if let Some(word) = words.named("places") {
        pool.concurrent_max = number32(words, word)?;
    }
    if let Some(word) = words.named("fencing") {
        pool.checks_fencing = yes_no(words, word)?;
    }
    if let Some(word) = words.named("order-delay") {
        pool.order_delay_max_ms = ms32(words, word)?;
    }
    fleet.pools.insert(name, pool);
    Ok(())
}

fn memory(
    words: &Words<'_>,
    word: super::line::Word<'_>,
) -> Result<Vec<u32>, ScriptError> {
    let sizes = list(word).into_iter().map(|size| size.parse().ok());
    sizes
        .collect::<Option<Vec<u32>>>()
        .ok_or_else(|| words.error(word, "not a list of sizes in MiB"))
}

fn ms32(words: &Words<'_>, word: super::line::Word<'_>) -> Result<u32, ScriptError> {
    let ms = duration_ms(words, word)?;
    Ok(u32::try_from(ms).unwrap_or(u32::MAX))
}

fn model_spec(words: &mut Words<'_>) -> Result<Model, ScriptError> {
    let pool = words.needed("pool")?.text.to_owned();
    let size = words.needed("size")?;
    let size_mib = number32(words, size)?;
    let version = match words.named("version") {
        Some(word) => number32(words, word)?,
        None => 1,
    };
    Ok(Model {
        size_mib,
        version,
        pool,
    })
}

fn model(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next("a name")?.text.to_owned();
    let model = model_spec(words)?;
    fleet.models.insert(name, model);
    Ok(())
}

/// `models m count=40 …` declares `m1` to `m40`.
fn models(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let prefix = words.next("the start of the names")?.text.to_owned();
    let count = words.needed("count")?;
    let count = number(words, count)?;
    let model = model_spec(words)?;
    for index in 1..=count {
        fleet
            .models
            .insert(format!("{prefix}{index}"), model.clone());
    }
    Ok(())
}

fn adapter(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next("a name")?.text.to_owned();
    let base = words.needed("base")?.text.to_owned();
    let size = words.needed("size")?;
    let adapter = Adapter {
        base,
        size_mib: number32(words, size)?,
        version: 1,
    };
    fleet.adapters.insert(name, adapter);
    Ok(())
}

fn profile(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next("a name")?.text.to_owned();
    let kind = words.next("`interactive` or `batch`")?;
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
    match words.named("models").map(list) {
        // `models=all` names every model and adapter declared so far.
        Some(names) if names == ["all"] => {
            let all = fleet.models.keys().chain(fleet.adapters.keys());
            profile.models = all.cloned().collect();
        }
        Some(names) => profile.models = names,
        None => {}
    }
    if let Some(word) = words.named("service") {
        profile.service = word.text.to_owned();
    }
    if let Some(word) = words.named("first-token") {
        profile.first_token_ms = ms32(words, word)?;
    }
    if let Some(word) = words.named("between") {
        profile.between_tokens_ms = ms32(words, word)?;
    }
    if let Some(word) = words.named("deadline") {
        profile.deadline_ms = ms32(words, word)?;
    }
    if let Some(word) = words.named("priority") {
        profile.priority = number32(words, word)?;
    }
    if let Some(word) = words.named("value") {
        profile.value = fraction(words, word)?;
    }
    fleet.profiles.insert(name, profile);
    Ok(())
}

fn service(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next("a name")?.text.to_owned();
    let pool = words.needed("pool")?.text.to_owned();
    let timeout = match words.named("timeout") {
        Some(word) => ms32(words, word)?,
        None => 2_000,
    };
    let word = words.next("`idempotent` or `once`")?;
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

fn caller(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let name = words.next("a name")?.text.to_owned();
    let concurrent_max = match words.named("concurrent") {
        Some(word) => number32(words, word)?,
        None => 1_000,
    };
    let caller = Caller {
        key_sha256: conf::sha256_hex(&format!("key-{name}")),
        concurrent_max,
    };
    fleet.callers.insert(name, caller);
    Ok(())
}

fn weights(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let mut weights = fleet.weights.unwrap_or_default();
    if let Some(word) = words.named("attainment") {
        weights.attainment = fraction(words, word)?;
    }
    if let Some(word) = words.named("move-cost") {
        weights.move_cost = fraction(words, word)?;
    }
    if let Some(word) = words.named("min-residence") {
        weights.min_residence_ms = ms32(words, word)?;
    }
    if let Some(word) = words.named("wait-max") {
        weights.wait_max_ms = ms32(words, word)?;
    }
    fleet.weights = Some(weights);
    Ok(())
}

fn store(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let mut store = fleet.store.unwrap_or_default();
    if let Some(word) = words.named("loads-per-s") {
        store.loads_per_s = fraction(words, word)?;
    }
    if let Some(word) = words.named("full-speed") {
        store.full_speed_loads = number32(words, word)?;
    }
    if let Some(word) = words.named("load-time") {
        store.load_time_ms = ms32(words, word)?;
    }
    fleet.store = Some(store);
    Ok(())
}

fn limits(fleet: &mut Fleet, words: &mut Words<'_>) -> Result<(), ScriptError> {
    let mut limits = fleet.limits.unwrap_or_default();
    if let Some(word) = words.named("waiting") {
        limits.waiting_max = number32(words, word)?;
    }
    if let Some(word) = words.named("retry-percent") {
        limits.retry_percent = number32(words, word)?;
    }
    if let Some(word) = words.named("verdict") {
        limits.verdict_ms = ms32(words, word)?;
    }
    if let Some(word) = words.named("heartbeat") {
        limits.heartbeat_ms = ms32(words, word)?;
    }
    if let Some(word) = words.named("claim-retention") {
        limits.claim_retention_ms = ms32(words, word)?;
    }
    fleet.limits = Some(limits);
    Ok(())
}
