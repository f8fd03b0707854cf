//! An agent's machine with a hand-made platform and upstream.

use super::messages::{self, Fleet};
use base::prelude::*;
use base::{ObjectVersion, PlatformOp, PlatformResponse, PlatformResult};
use role::agent::{
    AgentAction, AgentEvent, AgentOptions, AgentRole, OrderAnswer, UpstreamEvent,
    UpstreamOrder, UpstreamOrderState, UpstreamReport, UpstreamResident,
};
use schema::link::{Run, frame};

/// An agent's machine, driven by hand.
#[derive(Debug)]
pub struct AgentRig {
    /// The machine.
    pub role: AgentRole,
    /// The present.
    pub now: Instant,
    /// Writes to the platform so far.
    pub writes: u64,
    /// Reads and lists so far.
    pub reads: u64,
    document: Vec<u8>,
    report: UpstreamReport,
    sequence: u64,
}

/// The entry that sends the runs.
pub const ENTRY: &str = "entry-0000";

impl AgentRig {
    /// A ready agent with this many models resident and entries connected.
    pub fn new(fleet: &Fleet, residents: usize, entries: usize) -> Self {
        let now = Instant::from_ms(1_000);
        let mut first = Vec::new();
        let mut rig = Self {
            role: AgentRole::new(options(), now, &mut first),
            now,
            writes: 0,
            reads: 0,
            document: messages::document(fleet).to_string().into_bytes(),
            report: report(residents),
            sequence: 0,
        };
        rig.serve(first);
        for nth in 0..entries {
            let entry = EntryId::new(&messages::entry(nth));
            rig.handle(AgentEvent::LinkUp { entry });
        }
        rig.tell_report();
        rig
    }

    /// The upstream reports its state.
    pub fn tell_report(&mut self) -> usize {
        let report = self.report.clone();
        self.handle(AgentEvent::Upstream(UpstreamEvent::Report(report)))
    }

    /// Takes an event; calls to platform and upstream are answered at once.
    /// Gives the number of frames sent and events recorded.
    pub fn handle(&mut self, event: AgentEvent) -> usize {
        let mut out = Vec::new();
        self.role.handle(self.now, event, &mut out);
        let count = out.len();
        self.serve(out);
        count
    }

    fn serve(&mut self, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::CallPlatform(call) => {
                    let result = self.platform(&call.op);
                    let id = call.id;
                    self.handle(AgentEvent::PlatformAnswered(PlatformResponse {
                        id,
                        result,
                    }));
                }
                AgentAction::SendOrder(order) => {
                    self.carry_out(&order);
                    let (order, answer) = (order.id, OrderAnswer::Accepted);
                    let answered = UpstreamEvent::OrderAnswered { order, answer };
                    self.handle(AgentEvent::Upstream(answered));
                }
                _ => {}
            }
        }
    }

    fn carry_out(&mut self, order: &role::agent::Order) {
        self.report.orders.push(UpstreamOrder {
            order: order.id,
            fencing_epoch: order.fencing_epoch.0,
            state: UpstreamOrderState::Done,
        });
        if order.load {
            self.report.residents.push(UpstreamResident {
                model: order.model.clone(),
                version: order.version,
                accelerator: order.accelerator,
                size_mib: order.size_mib,
                loaded: true,
            });
        } else {
            self.report
                .residents
                .retain(|held| held.model != order.model);
        }
    }

    fn platform(&mut self, op: &PlatformOp) -> PlatformResult {
        match op {
            PlatformOp::Read { .. } => {
                self.reads += 1;
                PlatformResult::Object(None)
            }
            PlatformOp::List { .. } => {
                self.reads += 1;
                let key = conf::revision_key(Revision(1));
                let held = vec![(key, ObjectVersion(1), self.document.clone())];
                PlatformResult::Objects(held, ObjectVersion(1))
            }
            PlatformOp::Write { .. } | PlatformOp::Delete { .. } => {
                self.writes += 1;
                PlatformResult::Written(ObjectVersion(1 + self.writes))
            }
            PlatformOp::Watch { .. } => PlatformResult::Unanswered,
        }
    }

    /// A frame came from the first entry.
    pub fn frame(&mut self, body: frame::Body) -> usize {
        self.handle(AgentEvent::Frame {
            entry: EntryId::new(ENTRY),
            revision: Revision(1),
            body,
        })
    }

    /// One run from the frame to its end, without parts. Gives the events of the
    /// time line and frames.
    pub fn run(&mut self) -> usize {
        let (id, run) = self.next_run();
        let began = self.frame(frame::Body::Run(run));
        let started = self.upstream(UpstreamEvent::Started { attempt: id });
        let done = self.upstream(UpstreamEvent::Done {
            attempt: id,
            status: 200,
            content_type: "text/event-stream".to_owned(),
        });
        began + started + done
    }

    /// Something came from the upstream.
    pub fn upstream(&mut self, event: UpstreamEvent) -> usize {
        self.handle(AgentEvent::Upstream(event))
    }

    /// A run that was not seen before.
    pub fn next_run(&mut self) -> (AttemptId, Run) {
        self.sequence += 1;
        let attempt = messages::attempt(self.sequence);
        let run = Run {
            attempt,
            agent_incarnation: INCARNATION,
            revision: 1,
            ..super::bytes::run()
        };
        let origin = attempt.map_or(0, |attempt| attempt.origin);
        let sequence = self.sequence;
        (AttemptId { origin, sequence }, run)
    }
}

const INCARNATION: u64 = 1_764_700_000_000_000;

fn options() -> AgentOptions {
    AgentOptions {
        id: AgentId::new(&messages::agent(0)),
        incarnation: Incarnation(INCARNATION),
        failure_domain: FailureDomainId::new(&messages::domain(0)),
        pool: PoolId::new(messages::POOL),
        link_address: "10.120.130.140:20001".to_owned(),
        operator_address: "10.120.130.140:20002".to_owned(),
        seed: 1,
        unix_ms_at_zero: 1_764_700_000_000,
    }
}

/// Small models, so that many are resident at once, as adapters are.
fn report(residents: usize) -> UpstreamReport {
    let resident = |nth: usize| UpstreamResident {
        model: ModelId::new(&messages::model(nth)),
        version: 1,
        accelerator: (nth % 4) as u32,
        size_mib: 256,
        loaded: true,
    };
    UpstreamReport {
        incarnation: 7,
        residents: (0..residents).map(resident).collect(),
        step_time_us: 10_000,
        ..UpstreamReport::default()
    }
}
