//! Harness of the agent's state machine, which stands in for the platform and
//! the upstream.

use super::messages::{self, Fleet};
use base::prelude::*;
use base::{ObjectVersion, PlatformOp, PlatformResponse, PlatformResult};
use role::agent::{
    AgentAction, AgentEvent, AgentOptions, AgentRole, OrderAnswer, UpstreamEvent,
    UpstreamOrder, UpstreamOrderState, UpstreamReport, UpstreamResident,
};
use schema::link::{Run, frame};

/// The agent's state machine, whose platform calls and orders are answered at
/// once.
#[derive(Debug)]
pub struct AgentHarness {
    /// The state machine.
    pub role: AgentRole,
    /// Current time.
    pub now: Instant,
    /// Number of writes to the platform so far.
    pub writes: u64,
    /// Number of reads and lists so far.
    pub reads: u64,
    document: Vec<u8>,
    report: UpstreamReport,
    sequence: u64,
}

/// Name of the entry that sends the runs.
pub const SENDING_ENTRY: &str = "entry-0000";

impl AgentHarness {
    /// Creates a ready agent with this number of resident models and connected
    /// entries.
    pub fn new(fleet: &Fleet, residents: usize, entries: usize) -> Self {
        let now = Instant::from_ms(1_000);
        let mut initial_actions = Vec::new();
        let mut harness = Self {
            role: AgentRole::new(options(), now, &mut initial_actions),
            now,
            writes: 0,
            reads: 0,
            document: messages::document(fleet).to_string().into_bytes(),
            report: upstream_report(residents),
            sequence: 0,
        };
        harness.run_actions(initial_actions);
        for index in 0..entries {
            let entry = EntryId::new(&messages::entry(index));
            harness.handle(AgentEvent::LinkUp { entry });
        }
        harness.report_upstream_state();
        harness
    }

    /// Delivers the upstream's current report.
    pub fn report_upstream_state(&mut self) -> usize {
        let report = self.report.clone();
        self.handle(AgentEvent::Upstream(UpstreamEvent::Report(report)))
    }

    /// Handles an event; platform calls and orders that result are answered at
    /// once. Returns the number of actions.
    pub fn handle(&mut self, event: AgentEvent) -> usize {
        let mut out = Vec::new();
        self.role.handle(self.now, event, &mut out);
        let count = out.len();
        self.run_actions(out);
        count
    }

    fn run_actions(&mut self, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::CallPlatform(call) => {
                    let result = self.answer_platform_call(&call.op);
                    let id = call.id;
                    self.handle(AgentEvent::PlatformAnswered(PlatformResponse {
                        id,
                        result,
                    }));
                }
                AgentAction::SendOrder(order) => {
                    self.apply_order(&order);
                    let (order, answer) = (order.id, OrderAnswer::Accepted);
                    let event = UpstreamEvent::OrderAnswered { order, answer };
                    self.handle(AgentEvent::Upstream(event));
                }
                _ => {}
            }
        }
    }

    fn apply_order(&mut self, order: &role::agent::Order) {
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
                .retain(|resident| resident.model != order.model);
        }
    }

    fn answer_platform_call(&mut self, op: &PlatformOp) -> PlatformResult {
        match op {
            PlatformOp::Read { .. } => {
                self.reads += 1;
                PlatformResult::Object(None)
            }
            PlatformOp::List { .. } => {
                self.reads += 1;
                let key = conf::revision_key(Revision(1));
                let objects = vec![(key, ObjectVersion(1), self.document.clone())];
                PlatformResult::Objects(objects, ObjectVersion(1))
            }
            PlatformOp::Write { .. } | PlatformOp::Delete { .. } => {
                self.writes += 1;
                PlatformResult::Written(ObjectVersion(1 + self.writes))
            }
            PlatformOp::Watch { .. } => PlatformResult::Unanswered,
        }
    }

    /// Delivers a frame from the first entry.
    pub fn receive_frame(&mut self, body: frame::Body) -> usize {
        self.handle(AgentEvent::Frame {
            entry: EntryId::new(SENDING_ENTRY),
            revision: Revision(1),
            body,
        })
    }

    /// Runs one attempt from its frame to its end, without answer parts.
    /// Returns the number of actions.
    pub fn complete_run(&mut self) -> usize {
        let (id, run) = self.next_run();
        let run_count = self.receive_frame(frame::Body::Run(run));
        let started_count = self.upstream_event(UpstreamEvent::Started { attempt: id });
        let done_count = self.upstream_event(UpstreamEvent::Done {
            attempt: id,
            status: 200,
            content_type: "text/event-stream".to_owned(),
        });
        run_count + started_count + done_count
    }

    /// Delivers an event from the upstream.
    pub fn upstream_event(&mut self, event: UpstreamEvent) -> usize {
        self.handle(AgentEvent::Upstream(event))
    }

    /// Creates a run with a new attempt number.
    pub fn next_run(&mut self) -> (AttemptId, Run) {
        self.sequence += 1;
        let attempt = messages::attempt(self.sequence);
        let run = Run {
            attempt,
            agent_incarnation: INCARNATION,
            revision: 1,
            ..super::bytes::run_message()
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
        failure_domain: FailureDomainId::new(&messages::failure_domain(0)),
        pool: PoolId::new(messages::POOL),
        link_address: "10.120.130.140:20001".to_owned(),
        operator_address: "10.120.130.140:20002".to_owned(),
        seed: 1,
        unix_ms_at_zero: 1_764_700_000_000,
    }
}

/// The models are as small as adapters, so that many can be resident at once.
fn upstream_report(residents: usize) -> UpstreamReport {
    let resident = |index: usize| UpstreamResident {
        model: ModelId::new(&messages::model(index)),
        version: 1,
        accelerator: (index % 4) as u32,
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
