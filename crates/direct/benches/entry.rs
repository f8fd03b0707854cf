//! Processor time that an entry needs per message from another entry and per selection
//! of an upstream, by the number of entries.
//!
//! There are four upstreams per entry, each with three models. Each entry has requests
//! at eight upstreams, which change from message to message.

use base::prelude::*;
use direct::{
    Activity, EngineSpec, Fleet, LocalWeights, ModelSpec, PrefillQueue, ResidentModel,
    SelectionInput, UpstreamIncarnation, UpstreamRecord, Usage,
    peer_message_interval_ms, select_upstream,
};
use std::sync::Arc;
use std::time::Instant as WallInstant;

const ENTRIES: [usize; 4] = [4, 24, 68, 300];
const UPSTREAMS_EACH: usize = 4;
const MODELS_HELD: usize = 3;
const USED: usize = 8;

/// Messages of each entry that are handled before the measurement, and during it.
const ROUNDS: usize = 40;
const SELECTIONS: usize = 4_000;

fn main() {
    println!(
        "| entries | upstreams | a message, us | messages a second | a choice, us |"
    );
    println!("|---|---|---|---|---|");
    for entries in ENTRIES {
        let mut benchmark = Benchmark::new(entries);
        for round in 0..ROUNDS {
            benchmark.handle_messages(round);
        }
        let started_at = WallInstant::now();
        for round in ROUNDS..2 * ROUNDS {
            benchmark.handle_messages(round);
        }
        let messages = ROUNDS * (entries - 1);
        let message_us = started_at.elapsed().as_secs_f64() * 1e6 / messages as f64;
        let started_at = WallInstant::now();
        for number in 0..SELECTIONS {
            benchmark.select(number as u64);
        }
        let selection_us = started_at.elapsed().as_secs_f64() * 1e6 / SELECTIONS as f64;
        let every_s = peer_message_interval_ms(entries) as f64 / 1_000.0;
        let per_s = (entries - 1) as f64 / every_s;
        let upstreams = entries * UPSTREAMS_EACH;
        println!(
            "| {entries} | {upstreams} | {message_us:.2} | {per_s:.0} | {selection_us:.2} |"
        );
    }
}

struct Benchmark {
    fleet: Fleet,
    upstreams: Vec<Arc<str>>,
    peers: Vec<String>,
    models: Vec<Arc<str>>,
    engine: EngineSpec,
    now_ms: u64,
}

impl Benchmark {
    fn new(entries: usize) -> Self {
        let count = entries * UPSTREAMS_EACH;
        let models: Vec<Arc<str>> = (0..count.div_ceil(2))
            .map(|model| format!("model-{model:04}").into())
            .collect();
        let upstreams: Vec<Arc<str>> = (0..count)
            .map(|upstream| format!("upstream-{upstream:06x}").into())
            .collect();
        let listed = upstreams.iter().enumerate();
        let listed = listed.map(|(index, id)| (1, record(id, index, &models)));
        let mut fleet = Fleet::new();
        fleet.apply_list(Instant::from_ms(0), 1, listed.collect());
        Self {
            fleet,
            peers: (1..entries)
                .map(|entry| format!("entry-{entry:04}"))
                .collect(),
            engine: engine(&models),
            upstreams,
            models,
            now_ms: 10_000,
        }
    }

    /// Handles one message from each other entry.
    fn handle_messages(&mut self, round: usize) {
        self.now_ms += 100;
        let now = Instant::from_ms(self.now_ms);
        for (number, peer) in self.peers.iter().enumerate() {
            let used = (0..USED).map(|index| {
                let upstream =
                    (number * 37 + index * 101 + round * 13) % self.upstreams.len();
                &*self.upstreams[upstream]
            });
            let incarnation = |id| UpstreamIncarnation {
                id,
                started_unix_ms: Some(7),
            };
            let usage = Usage {
                running: 2,
                prefill: PrefillQueue::single(1, 900),
                kv_tokens: 4_000,
            };
            let activity = Activity {
                answering: 1,
                silent_ms: 20,
            };
            let uses = used.clone().map(|id| (incarnation(id), usage));
            self.fleet.set_peer_usage(now, peer, uses);
            let activities = used.map(|id| (incarnation(id), activity));
            self.fleet.set_peer_activity(now, peer, activities);
        }
    }

    fn select(&self, number: u64) {
        let model = &self.models[number as usize * 31 % self.models.len()];
        let input = SelectionInput {
            now: Instant::from_ms(self.now_ms),
            service: "engines",
            engine: Some(&self.engine),
            model: Some((model, None)),
            prompt_parts: &[(7, 500), (number, 900)],
            priority: 1,
            is_ordered: false,
            prompt_tokens: 1_400,
            time_factor: 1.0,
            kv_tokens: 1_800,
            excluded: &[],
            origin: None,
            domain: "domain-1",
            random: number,
        };
        std::hint::black_box(select_upstream(&self.fleet, &input)).expect("it is held");
    }
}

fn record(id: &Arc<str>, index: usize, models: &[Arc<str>]) -> UpstreamRecord {
    let residents = (0..MODELS_HELD).map(|slot| ResidentModel {
        model: Arc::clone(&models[(index * MODELS_HELD + slot) % models.len()]),
        version: 1,
        adapters: Vec::new(),
    });
    UpstreamRecord {
        id: Arc::clone(id),
        started_unix_ms: Some(7),
        service: "engines".into(),
        software_version: Some("v1".into()),
        address: ([127, 0, 0, 1], 1).into(),
        domain: format!("domain-{}", index % 5).into(),
        batch_slots: 64,
        leaving: false,
        gone_in_ms: None,
        residents: residents.collect(),
        local_weights: LocalWeights::default(),
    }
}

fn engine(models: &[Arc<str>]) -> EngineSpec {
    let spec = ModelSpec {
        weights_mb: 70_000.0,
        store_load_ms: 2_300,
        disk_load_ms: 1_000,
        memory_load_ms: 500,
        adapter_mb: 60.0,
        adapters: Vec::new(),
    };
    let models = models.iter().map(|model| (Arc::clone(model), spec.clone()));
    EngineSpec {
        batch_slots: 6_400,
        cache_capacity_tokens: 100_000_000,
        weights_max_mb: 230_000.0,
        adapters_max: 8,
        store_loads_per_s: 13.0,
        tokens_per_event: 1,
        models: models.collect(),
    }
}
