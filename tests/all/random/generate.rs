//! Writes the text of a random scenario.

use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Faults begin.
const FROM_MS: u64 = 1_500;

/// Faults end and all is healed.
const HEALED_MS: u64 = 60_000;

/// Requests to everything are sent after the faults' last effects are over.
const ASKED_MS: u64 = 90_000;

/// By then each of them has its whole answer.
const ANSWERED_MS: u64 = 170_000;

/// Longest time from an agent's freeze to the start of its successor.
const FROZEN_MAX_MS: u64 = 4_000;

/// Fewest and most happenings of a sequence.
const HAPPENINGS: (u64, u64) = (10, 60);

const ENTRIES: [&str; 2] = ["e1", "e2"];
const ENGINES: [&str; 3] = ["a1", "a2", "a3"];
const SERVICES: [&str; 2] = ["p1", "p2"];
const MODELS: u64 = 4;

/// What a process is known to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Life {
    Runs,
    Frozen,
    Dead,
    /// Asked to stop; when it ends is not known here.
    Drains,
}

/// A scenario being written.
#[derive(Debug)]
struct Writer {
    rng: Pcg64Mcg,
    text: String,
    now_ms: u64,
    life: BTreeMap<&'static str, Life>,
    /// Agents with an earlier process that is frozen.
    old: BTreeSet<&'static str>,
    cuts: BTreeSet<(&'static str, &'static str)>,
    away: bool,
    revision: u64,
    requests: u64,
    /// Keyed orders: caller, key and body.
    orders: Vec<(&'static str, u64, String)>,
    poisons: Vec<String>,
}

/// The scenario of a seed.
pub(super) fn text(seed: u64) -> String {
    let mut writer = Writer::new(seed);
    writer.deployment(seed);
    let count = writer.between(HAPPENINGS.0, HAPPENINGS.1);
    let step_ms = (HEALED_MS - FROM_MS) / count;
    writer.now_ms = FROM_MS;
    for _ in 0..count {
        // Most steps are apart; some follow at once, as two faults together.
        let far = writer.below(4) > 0;
        let most_ms = if far { 2 * step_ms } else { 8 };
        writer.now_ms += writer.below(most_ms);
        if writer.now_ms >= HEALED_MS {
            break;
        }
        writer.happening();
    }
    writer.heal();
    writer.ask();
    writer.text
}

impl Writer {
    fn new(seed: u64) -> Self {
        let all = ENTRIES.iter().chain(&ENGINES).chain(&SERVICES);
        Self {
            rng: Pcg64Mcg::new(u128::from(seed) << 64 | 0x5e5a_3e5e_ed01),
            text: String::new(),
            now_ms: 0,
            life: all.map(|process| (*process, Life::Runs)).collect(),
            old: BTreeSet::new(),
            cuts: BTreeSet::new(),
            away: false,
            revision: 1,
            requests: 0,
            orders: Vec::new(),
            poisons: Vec::new(),
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.below(most - least + 1)
    }

    fn one<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u64) as usize]
    }

    fn line(&mut self, text: &str) {
        self.text.push_str(text);
        self.text.push('\n');
    }

    fn at(&mut self, text: &str) {
        let ms = self.now_ms;
        writeln!(self.text, "at {ms}ms {text}").expect("a string takes any text");
    }

    fn deployment(&mut self, seed: u64) {
        let fencing = self.one(&["yes", "no"]);
        self.line(&format!("# Random sequence of faults, seed {seed}."));
        self.line(&format!("seed {seed}"));
        self.line(&format!(
            "pool oracle engine step=10ms places=4 memory=81920 fencing={fencing} \
             order-delay=5s"
        ));
        self.line("pool deskapp service places=8");
        self.line(&format!("models m count={MODELS} pool=oracle size=66560"));
        self.line("service orders pool=deskapp once timeout=2s");
        self.line("service lookup pool=deskapp idempotent timeout=2s");
        self.line(
            "profile diagnosis interactive models=all first-token=1400ms \
             deadline=20s priority=5",
        );
        self.line("profile summary batch models=all deadline=80s");
        self.line("profile parts-order interactive service=orders deadline=5s");
        self.line("profile parts-lookup interactive service=lookup deadline=5s");
        self.line("caller desk");
        self.line("caller other");
        self.line("weights min-residence=3s wait-max=10s");
        let domains = ["spanish-town", "newport-west", "halfway-tree"];
        for (entry, domain) in ENTRIES.iter().zip(domains) {
            self.line(&format!("entry {entry} domain={domain}"));
        }
        for (engine, domain) in ENGINES.iter().zip(domains) {
            self.line(&format!("instance {engine} domain={domain} pool=oracle"));
        }
        for (service, domain) in SERVICES.iter().zip(domains) {
            self.line(&format!("instance {service} domain={domain} pool=deskapp"));
        }
        let end_ms = ANSWERED_MS + 1_000;
        self.line(&format!("end {end_ms}ms"));
    }

    fn happening(&mut self) {
        match self.below(24) {
            0..=7 => self.ask_model(),
            8..=11 => self.ask_service(),
            12 => self.poison(),
            13 => self.kill_or_start(),
            14 => self.freeze_or_thaw(),
            15 => self.replace(),
            16 => self.drain(),
            17 | 18 => self.cut_or_heal(),
            19 => self.break_link(),
            20 | 21 => self.platform(),
            22 => self.upstream(),
            _ => self.publish(),
        }
    }

    fn next_request(&mut self) -> String {
        self.requests += 1;
        format!("r{}", self.requests)
    }

    fn ask_model(&mut self) {
        let name = self.next_request();
        let caller = self.one(&["desk", "other"]);
        let entry = self.one(&ENTRIES);
        let model = self.between(1, MODELS);
        let units = self.between(1, 300);
        self.at(&format!(
            "request {name} caller={caller} entry={entry} profile=diagnosis \
             model=m{model} units={units}"
        ));
        if self.below(10) == 0 {
            self.now_ms += self.below(2_000);
            self.at(&format!("gone {name}"));
        }
    }

    fn ask_service(&mut self) {
        let name = self.next_request();
        let entry = self.one(&ENTRIES);
        if self.below(3) == 0 {
            self.at(&format!(
                "request {name} caller=desk entry={entry} profile=parts-lookup \
                 service=lookup"
            ));
            return;
        }
        if self.below(5) == 0 {
            self.at(&format!(
                "request {name} caller=desk entry={entry} profile=parts-order \
                 service=orders"
            ));
            return;
        }
        let resend = !self.orders.is_empty() && self.below(2) == 0;
        let (caller, key, body) = if resend {
            let index = self.below(self.orders.len() as u64) as usize;
            self.orders[index].clone()
        } else {
            let caller = self.one(&["desk", "other"]);
            let key = self.orders.len() as u64;
            let order = (caller, key, format!("order-{key}"));
            self.orders.push(order.clone());
            order
        };
        self.at(&format!(
            "request {name} caller={caller} entry={entry} profile=parts-order \
             service=orders key=K{key} body={body}"
        ));
    }

    /// A request that crashes its engine; its caller sends it again.
    fn poison(&mut self) {
        let again = !self.poisons.is_empty() && self.below(2) == 0;
        let body = if again {
            let index = self.below(self.poisons.len() as u64) as usize;
            self.poisons[index].clone()
        } else {
            let body = format!("poison-{}", self.poisons.len());
            self.at(&format!("crash-on {body}"));
            self.poisons.push(body.clone());
            body
        };
        let name = self.next_request();
        let entry = self.one(&ENTRIES);
        let model = self.between(1, MODELS);
        self.at(&format!(
            "request {name} caller=other entry={entry} profile=diagnosis \
             model=m{model} units=20 body={body}"
        ));
    }

    fn process(&mut self) -> &'static str {
        let all: Vec<&'static str> = self.life.keys().copied().collect();
        self.one(&all)
    }

    fn kill_or_start(&mut self) {
        let process = self.process();
        match self.life[process] {
            Life::Runs | Life::Frozen => {
                self.at(&format!("kill {process}"));
                self.life.insert(process, Life::Dead);
            }
            Life::Dead => {
                self.at(&format!("start {process}"));
                self.life.insert(process, Life::Runs);
            }
            Life::Drains => {
                self.at(&format!("kill {process}"));
                self.at(&format!("start {process}"));
                self.life.insert(process, Life::Runs);
            }
        }
    }

    fn freeze_or_thaw(&mut self) {
        let process = self.process();
        match self.life[process] {
            Life::Runs => {
                self.at(&format!("freeze {process}"));
                self.life.insert(process, Life::Frozen);
            }
            Life::Frozen => {
                self.at(&format!("thaw {process}"));
                self.life.insert(process, Life::Runs);
            }
            Life::Dead | Life::Drains => {}
        }
    }

    /// Freezes an agent and starts a second beside it, or wakes the first.
    fn replace(&mut self) {
        let agents = [ENGINES.as_slice(), SERVICES.as_slice()].concat();
        let agent = self.one(&agents);
        if self.now_ms + FROZEN_MAX_MS < HEALED_MS && self.old.remove(agent) {
            self.at(&format!("thaw {agent}.old"));
            self.now_ms += self.below(3_000);
            self.at(&format!("kill {agent}.old"));
            return;
        }
        let late = self.now_ms + FROZEN_MAX_MS >= HEALED_MS;
        if self.life[agent] != Life::Runs || late {
            return;
        }
        self.at(&format!("freeze {agent}"));
        self.now_ms += self.below(FROZEN_MAX_MS);
        self.at(&format!("replace {agent}"));
        self.old.insert(agent);
    }

    fn drain(&mut self) {
        let process = self.process();
        if self.life[process] == Life::Runs {
            self.at(&format!("drain {process}"));
            self.life.insert(process, Life::Drains);
        }
    }

    fn ends(&mut self) -> (&'static str, &'static str) {
        let entry = self.one(&ENTRIES);
        let far = match self.below(6) {
            0 => "platform",
            1 => return ("e1", "e2"),
            2 | 3 => self.one(&ENGINES),
            _ => self.one(&SERVICES),
        };
        (entry, far)
    }

    fn cut_or_heal(&mut self) {
        if self.cuts.len() > 2 || (!self.cuts.is_empty() && self.below(2) == 0) {
            let all: Vec<_> = self.cuts.iter().copied().collect();
            let (a, b) = self.one(&all);
            self.cuts.remove(&(a, b));
            self.at(&format!("heal {a} {b}"));
            return;
        }
        let mut ends = self.ends();
        if self.below(5) == 0 {
            ends = (self.one(&ENGINES), "platform");
        }
        if self.cuts.insert(ends) {
            self.at(&format!("cut {} {}", ends.0, ends.1));
        }
    }

    fn break_link(&mut self) {
        let (a, b) = self.ends();
        if b != "platform" {
            self.at(&format!("break {a} {b}"));
        }
    }

    fn platform(&mut self) {
        if self.away {
            self.away = false;
            self.at("platform back");
            return;
        }
        let count = self.between(1, 5);
        match self.below(6) {
            0 | 1 => {
                self.away = true;
                self.at("platform away");
            }
            2 => {
                let ms = self.between(1, 800);
                self.at(&format!("platform delay {ms}ms"));
            }
            3 => self.at(&format!("platform lose-answers count={count}")),
            4 => self.at(&format!("platform old-reads count={count}")),
            _ => self.at("platform miss-watches"),
        }
    }

    fn upstream(&mut self) {
        let engine = self.one(&ENGINES);
        let any = self.below(2) == 0;
        let crashes = if any { engine } else { self.one(&SERVICES) };
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
        self.at(&fault);
    }

    fn publish(&mut self) {
        let revision = self.revision + 1;
        let version = revision;
        let model = self.between(1, MODELS);
        let patch = match self.below(2) {
            0 => format!("{{\"weights\":{{\"move_cost\":{version}.5}}}}"),
            _ => format!("{{\"models\":{{\"m{model}\":{{\"version\":{version}}}}}}}"),
        };
        self.at(&format!("publish revision={revision} patch='{patch}'"));
        if !self.away {
            self.revision = revision;
        }
    }

    /// Ends every fault.
    fn heal(&mut self) {
        self.now_ms = HEALED_MS;
        self.at("platform back");
        self.at("platform delay 2ms");
        self.at("platform lose-answers count=0");
        self.at("platform old-reads count=0");
        for (a, b) in std::mem::take(&mut self.cuts) {
            self.at(&format!("heal {a} {b}"));
        }
        for engine in ENGINES {
            self.at(&format!("upstream {engine} slow factor=1"));
            self.at(&format!("upstream {engine} slow-loads factor=1"));
            self.at(&format!("upstream {engine} lose-orders count=0"));
            self.at(&format!("upstream {engine} delay-orders by=1ms count=0"));
        }
        for agent in std::mem::take(&mut self.old) {
            self.at(&format!("thaw {agent}.old"));
            self.now_ms += 3_000;
            self.at(&format!("kill {agent}.old"));
        }
        for (process, life) in self.life.clone() {
            if life == Life::Frozen {
                self.at(&format!("thaw {process}"));
            } else if life != Life::Runs {
                self.at(&format!("kill {process}"));
                self.at(&format!("start {process}"));
            }
        }
    }

    /// Asks for every model and service, and states that each answers.
    fn ask(&mut self) {
        self.now_ms = ASKED_MS;
        let revision = self.revision;
        self.at(&format!("expect revision {revision}"));
        let mut expected = Vec::new();
        for (process, _) in self.life.clone() {
            self.at(&format!("expect ready {process} yes"));
        }
        for model in 1..=MODELS {
            let entry = self.one(&ENTRIES);
            self.at(&format!(
                "request q{model} caller=desk entry={entry} profile=summary \
                 model=m{model} units=50"
            ));
            expected.push(format!("q{model}"));
        }
        for entry in ENTRIES {
            self.at(&format!(
                "request l-{entry} caller=desk entry={entry} profile=parts-lookup \
                 service=lookup"
            ));
            self.at(&format!(
                "request o-{entry} caller=desk entry={entry} profile=parts-order \
                 service=orders key=last-{entry}"
            ));
            expected.push(format!("l-{entry}"));
            expected.push(format!("o-{entry}"));
        }
        self.now_ms = ANSWERED_MS;
        for name in expected {
            self.at(&format!("expect whole {name}"));
        }
    }
}
