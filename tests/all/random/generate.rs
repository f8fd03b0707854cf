//! Generates the text of a random scenario.

use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Time at which the random steps start.
const FAULTS_START_MS: u64 = 1_500;

/// Time at which all faults end.
const FAULTS_END_MS: u64 = 60_000;

/// Time of the final requests to every model and service, after the last effects
/// of the faults are over.
const FINAL_REQUESTS_MS: u64 = 90_000;

/// Time by which each of the final requests must have its complete answer.
const FINAL_ANSWERS_MS: u64 = 170_000;

/// Maximum time from an agent's freeze to the start of its successor.
const REPLACEMENT_DELAY_MAX_MS: u64 = 4_000;

/// Minimum and maximum number of random steps.
const STEP_COUNT_RANGE: (u64, u64) = (10, 60);

const ENTRIES: [&str; 2] = ["e1", "e2"];
const ENGINES: [&str; 3] = ["a1", "a2", "a3"];
const SERVICES: [&str; 2] = ["p1", "p2"];
const MODELS: u64 = 4;

/// State of a process as far as the generator knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProcessState {
    Running,
    Frozen,
    Dead,
    /// Asked to shut down. The generator does not know when it exits.
    Draining,
}

/// Writer of a random scenario.
#[derive(Debug)]
struct ScenarioWriter {
    rng: Pcg64Mcg,
    text: String,
    now_ms: u64,
    process_states: BTreeMap<&'static str, ProcessState>,
    /// Agents whose frozen predecessor, `<agent>.old`, still exists.
    replaced_agents: BTreeSet<&'static str>,
    cuts: BTreeSet<(&'static str, &'static str)>,
    platform_away: bool,
    revision: u64,
    requests: u64,
    /// Requests sent with an idempotency key: caller, key and body.
    keyed_orders: Vec<(&'static str, u64, String)>,
    /// Bodies of requests that crash the engine that runs them.
    crashing_bodies: Vec<String>,
}

/// Generates the scenario of a seed.
pub(super) fn text(seed: u64) -> String {
    let mut writer = ScenarioWriter::new(seed);
    writer.write_deployment(seed);
    let count = writer.between(STEP_COUNT_RANGE.0, STEP_COUNT_RANGE.1);
    let step_ms = (FAULTS_END_MS - FAULTS_START_MS) / count;
    writer.now_ms = FAULTS_START_MS;
    for _ in 0..count {
        // Most steps are spread out; some follow within milliseconds, so that two
        // faults coincide.
        let spread_out = writer.below(4) > 0;
        let max_gap_ms = if spread_out { 2 * step_ms } else { 8 };
        writer.now_ms += writer.below(max_gap_ms);
        if writer.now_ms >= FAULTS_END_MS {
            break;
        }
        writer.write_random_step();
    }
    writer.write_end_of_faults();
    writer.write_final_requests();
    writer.text
}

impl ScenarioWriter {
    fn new(seed: u64) -> Self {
        let all = ENTRIES.iter().chain(&ENGINES).chain(&SERVICES);
        Self {
            rng: Pcg64Mcg::new(u128::from(seed) << 64 | 0x5e5a_3e5e_ed01),
            text: String::new(),
            now_ms: 0,
            process_states: all
                .map(|process| (*process, ProcessState::Running))
                .collect(),
            replaced_agents: BTreeSet::new(),
            cuts: BTreeSet::new(),
            platform_away: false,
            revision: 1,
            requests: 0,
            keyed_orders: Vec::new(),
            crashing_bodies: Vec::new(),
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    fn between(&mut self, min: u64, max: u64) -> u64 {
        min + self.below(max - min + 1)
    }

    fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }

    fn write_line(&mut self, text: &str) {
        self.text.push_str(text);
        self.text.push('\n');
    }

    fn write_step(&mut self, text: &str) {
        let ms = self.now_ms;
        writeln!(self.text, "at {ms}ms {text}").expect("writing to a string succeeds");
    }

    fn write_deployment(&mut self, seed: u64) {
        let fencing = self.pick(&["yes", "no"]);
        self.write_line(&format!("# Random sequence of faults, seed {seed}."));
        self.write_line(&format!("seed {seed}"));
        self.write_line(&format!(
            "pool oracle engine step=10ms places=4 memory=81920 fencing={fencing} \
             order-delay=5s"
        ));
        self.write_line("pool deskapp service places=8");
        self.write_line(&format!("models m count={MODELS} pool=oracle size=66560"));
        self.write_line("service orders pool=deskapp once timeout=2s");
        self.write_line("service lookup pool=deskapp idempotent timeout=2s");
        self.write_line(
            "profile diagnosis interactive models=all first-token=1400ms \
             deadline=20s priority=5",
        );
        self.write_line("profile summary batch models=all deadline=80s");
        self.write_line("profile parts-order interactive service=orders deadline=5s");
        self.write_line("profile parts-lookup interactive service=lookup deadline=5s");
        self.write_line("caller desk");
        self.write_line("caller other");
        self.write_line("weights min-residence=3s wait-max=10s");
        let domains = ["spanish-town", "newport-west", "halfway-tree"];
        for (entry, domain) in ENTRIES.iter().zip(domains) {
            self.write_line(&format!("entry {entry} domain={domain}"));
        }
        for (engine, domain) in ENGINES.iter().zip(domains) {
            self.write_line(&format!("instance {engine} domain={domain} pool=oracle"));
        }
        for (service, domain) in SERVICES.iter().zip(domains) {
            self.write_line(&format!(
                "instance {service} domain={domain} pool=deskapp"
            ));
        }
        let end_ms = FINAL_ANSWERS_MS + 1_000;
        self.write_line(&format!("end {end_ms}ms"));
    }

    fn write_random_step(&mut self) {
        match self.below(24) {
            0..=7 => self.write_model_request(),
            8..=11 => self.write_service_request(),
            12 => self.write_crashing_request(),
            13 => self.write_kill_or_start(),
            14 => self.write_freeze_or_thaw(),
            15 => self.write_replace(),
            16 => self.write_drain(),
            17 | 18 => self.write_cut_or_heal(),
            19 => self.write_break(),
            20 | 21 => self.write_platform(),
            22 => self.write_upstream(),
            _ => self.write_publish(),
        }
    }

    fn next_request_name(&mut self) -> String {
        self.requests += 1;
        format!("r{}", self.requests)
    }

    fn write_model_request(&mut self) {
        let name = self.next_request_name();
        let caller = self.pick(&["desk", "other"]);
        let entry = self.pick(&ENTRIES);
        let model = self.between(1, MODELS);
        let units = self.between(1, 300);
        self.write_step(&format!(
            "request {name} caller={caller} entry={entry} profile=diagnosis \
             model=m{model} units={units}"
        ));
        if self.below(10) == 0 {
            self.now_ms += self.below(2_000);
            self.write_step(&format!("gone {name}"));
        }
    }

    fn write_service_request(&mut self) {
        let name = self.next_request_name();
        let entry = self.pick(&ENTRIES);
        if self.below(3) == 0 {
            self.write_step(&format!(
                "request {name} caller=desk entry={entry} profile=parts-lookup \
                 service=lookup"
            ));
            return;
        }
        if self.below(5) == 0 {
            self.write_step(&format!(
                "request {name} caller=desk entry={entry} profile=parts-order \
                 service=orders"
            ));
            return;
        }
        let resend = !self.keyed_orders.is_empty() && self.below(2) == 0;
        let (caller, key, body) = if resend {
            let index = self.below(self.keyed_orders.len() as u64) as usize;
            self.keyed_orders[index].clone()
        } else {
            let caller = self.pick(&["desk", "other"]);
            let key = self.keyed_orders.len() as u64;
            let order = (caller, key, format!("order-{key}"));
            self.keyed_orders.push(order.clone());
            order
        };
        self.write_step(&format!(
            "request {name} caller={caller} entry={entry} profile=parts-order \
             service=orders key=K{key} body={body}"
        ));
    }

    /// Sends a request that crashes its engine, or sends an earlier one again.
    fn write_crashing_request(&mut self) {
        let again = !self.crashing_bodies.is_empty() && self.below(2) == 0;
        let body = if again {
            let index = self.below(self.crashing_bodies.len() as u64) as usize;
            self.crashing_bodies[index].clone()
        } else {
            let body = format!("poison-{}", self.crashing_bodies.len());
            self.write_step(&format!("crash-on {body}"));
            self.crashing_bodies.push(body.clone());
            body
        };
        let name = self.next_request_name();
        let entry = self.pick(&ENTRIES);
        let model = self.between(1, MODELS);
        self.write_step(&format!(
            "request {name} caller=other entry={entry} profile=diagnosis \
             model=m{model} units=20 body={body}"
        ));
    }

    fn pick_process(&mut self) -> &'static str {
        let all: Vec<&'static str> = self.process_states.keys().copied().collect();
        self.pick(&all)
    }

    fn write_kill_or_start(&mut self) {
        let process = self.pick_process();
        match self.process_states[process] {
            ProcessState::Running | ProcessState::Frozen => {
                self.write_step(&format!("kill {process}"));
                self.process_states.insert(process, ProcessState::Dead);
            }
            ProcessState::Dead => {
                self.write_step(&format!("start {process}"));
                self.process_states.insert(process, ProcessState::Running);
            }
            ProcessState::Draining => {
                self.write_step(&format!("kill {process}"));
                self.write_step(&format!("start {process}"));
                self.process_states.insert(process, ProcessState::Running);
            }
        }
    }

    fn write_freeze_or_thaw(&mut self) {
        let process = self.pick_process();
        match self.process_states[process] {
            ProcessState::Running => {
                self.write_step(&format!("freeze {process}"));
                self.process_states.insert(process, ProcessState::Frozen);
            }
            ProcessState::Frozen => {
                self.write_step(&format!("thaw {process}"));
                self.process_states.insert(process, ProcessState::Running);
            }
            ProcessState::Dead | ProcessState::Draining => {}
        }
    }

    /// Freezes an agent and starts its successor, or thaws and then kills a frozen
    /// predecessor.
    fn write_replace(&mut self) {
        let agents = [ENGINES.as_slice(), SERVICES.as_slice()].concat();
        let agent = self.pick(&agents);
        if self.now_ms + REPLACEMENT_DELAY_MAX_MS < FAULTS_END_MS
            && self.replaced_agents.remove(agent)
        {
            self.write_step(&format!("thaw {agent}.old"));
            self.now_ms += self.below(3_000);
            self.write_step(&format!("kill {agent}.old"));
            return;
        }
        let late = self.now_ms + REPLACEMENT_DELAY_MAX_MS >= FAULTS_END_MS;
        if self.process_states[agent] != ProcessState::Running || late {
            return;
        }
        self.write_step(&format!("freeze {agent}"));
        self.now_ms += self.below(REPLACEMENT_DELAY_MAX_MS);
        self.write_step(&format!("replace {agent}"));
        self.replaced_agents.insert(agent);
    }

    fn write_drain(&mut self) {
        let process = self.pick_process();
        if self.process_states[process] == ProcessState::Running {
            self.write_step(&format!("drain {process}"));
            self.process_states.insert(process, ProcessState::Draining);
        }
    }

    fn pick_link_ends(&mut self) -> (&'static str, &'static str) {
        let entry = self.pick(&ENTRIES);
        let other = match self.below(6) {
            0 => "platform",
            1 => return ("e1", "e2"),
            2 | 3 => self.pick(&ENGINES),
            _ => self.pick(&SERVICES),
        };
        (entry, other)
    }

    fn write_cut_or_heal(&mut self) {
        if self.cuts.len() > 2 || (!self.cuts.is_empty() && self.below(2) == 0) {
            let all: Vec<_> = self.cuts.iter().copied().collect();
            let (a, b) = self.pick(&all);
            self.cuts.remove(&(a, b));
            self.write_step(&format!("heal {a} {b}"));
            return;
        }
        let mut ends = self.pick_link_ends();
        if self.below(5) == 0 {
            ends = (self.pick(&ENGINES), "platform");
        }
        if self.cuts.insert(ends) {
            self.write_step(&format!("cut {} {}", ends.0, ends.1));
        }
    }

    fn write_break(&mut self) {
        let (a, b) = self.pick_link_ends();
        if b != "platform" {
            self.write_step(&format!("break {a} {b}"));
        }
    }

    fn write_platform(&mut self) {
        if self.platform_away {
            self.platform_away = false;
            self.write_step("platform back");
            return;
        }
        let count = self.between(1, 5);
        match self.below(6) {
            0 | 1 => {
                self.platform_away = true;
                self.write_step("platform away");
            }
            2 => {
                let ms = self.between(1, 800);
                self.write_step(&format!("platform delay {ms}ms"));
            }
            3 => self.write_step(&format!("platform lose-answers count={count}")),
            4 => self.write_step(&format!("platform old-reads count={count}")),
            _ => self.write_step("platform miss-watches"),
        }
    }

    fn write_upstream(&mut self) {
        let engine = self.pick(&ENGINES);
        let any = self.below(2) == 0;
        let crashes = if any { engine } else { self.pick(&SERVICES) };
        let count = self.between(1, 4);
        let fault = match self.below(5) {
            0 => {
                let ms = self.between(100, 6_000);
                format!("upstream {crashes} crash restart={ms}ms")
            }
            1 => format!("upstream {engine} slow factor={count}"),
            2 => format!("upstream {engine} slow-loads factor={count}"),
            3 => format!("upstream {engine} lose-orders count={count}"),
            _ => {
                let ms = self.between(100, 4_900);
                format!("upstream {engine} delay-orders by={ms}ms count={count}")
            }
        };
        self.write_step(&fault);
    }

    fn write_publish(&mut self) {
        let revision = self.revision + 1;
        let version = revision;
        let model = self.between(1, MODELS);
        let patch = match self.below(2) {
            0 => format!("{{\"weights\":{{\"move_cost\":{version}.5}}}}"),
            _ => format!("{{\"models\":{{\"m{model}\":{{\"version\":{version}}}}}}}"),
        };
        self.write_step(&format!("publish revision={revision} patch='{patch}'"));
        if !self.platform_away {
            self.revision = revision;
        }
    }

    /// Ends every fault.
    fn write_end_of_faults(&mut self) {
        self.now_ms = FAULTS_END_MS;
        self.write_step("platform back");
        self.write_step("platform delay 2ms");
        self.write_step("platform lose-answers count=0");
        self.write_step("platform old-reads count=0");
        for (a, b) in std::mem::take(&mut self.cuts) {
            self.write_step(&format!("heal {a} {b}"));
        }
        for engine in ENGINES {
            self.write_step(&format!("upstream {engine} slow factor=1"));
            self.write_step(&format!("upstream {engine} slow-loads factor=1"));
            self.write_step(&format!("upstream {engine} lose-orders count=0"));
            self.write_step(&format!("upstream {engine} delay-orders by=1ms count=0"));
        }
        for agent in std::mem::take(&mut self.replaced_agents) {
            self.write_step(&format!("thaw {agent}.old"));
            self.now_ms += 3_000;
            self.write_step(&format!("kill {agent}.old"));
        }
        for (process, process_states) in self.process_states.clone() {
            if process_states == ProcessState::Frozen {
                self.write_step(&format!("thaw {process}"));
            } else if process_states != ProcessState::Running {
                self.write_step(&format!("kill {process}"));
                self.write_step(&format!("start {process}"));
            }
        }
    }

    /// Requests every model and service and expects a complete answer from each.
    fn write_final_requests(&mut self) {
        self.now_ms = FINAL_REQUESTS_MS;
        let revision = self.revision;
        self.write_step(&format!("expect revision {revision}"));
        let mut expected = Vec::new();
        for (process, _) in self.process_states.clone() {
            self.write_step(&format!("expect ready {process} yes"));
        }
        for model in 1..=MODELS {
            let entry = self.pick(&ENTRIES);
            self.write_step(&format!(
                "request q{model} caller=desk entry={entry} profile=summary \
                 model=m{model} units=50"
            ));
            expected.push(format!("q{model}"));
        }
        for entry in ENTRIES {
            self.write_step(&format!(
                "request l-{entry} caller=desk entry={entry} profile=parts-lookup \
                 service=lookup"
            ));
            self.write_step(&format!(
                "request o-{entry} caller=desk entry={entry} profile=parts-order \
                 service=orders key=last-{entry}"
            ));
            expected.push(format!("l-{entry}"));
            expected.push(format!("o-{entry}"));
        }
        self.now_ms = FINAL_ANSWERS_MS;
        for name in expected {
            self.write_step(&format!("expect whole {name}"));
        }
    }
}
