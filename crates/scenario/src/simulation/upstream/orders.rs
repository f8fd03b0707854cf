//! Load and unload orders at a fake upstream.

use base::prelude::*;
use role::agent::{AgentEvent, Order, OrderAnswer, UpstreamEvent};

use super::super::Simulation;
use super::super::event_queue::{ProcessIncarnation, SimEvent};
use super::LOCAL_LATENCY;

/// Duration of an unload.
const UNLOAD_MS: u64 = 50;

/// Time after which an agent stops waiting for the answer to an order.
const ORDER_TIMEOUT_MS: u64 = 1_000;

impl Simulation<'_> {
    /// Sends an order from an agent to its upstream.
    pub(crate) fn send_order(&mut self, process: &str, order: Order) {
        let Some(proc) = self.agents.get(process) else {
            return;
        };
        let incarnation = proc.incarnation;
        let instance = proc.instance.clone();
        let Some(upstream) = self.upstreams.get_mut(&instance) else {
            return;
        };
        let operation = if order.load { "load" } else { "unload" };
        let description = format!("orders {operation} {} as {}", order.model, order.id);
        let mut delay_ms = None;
        if upstream.orders_to_lose > 0 {
            upstream.orders_to_lose -= 1;
            self.log(process, &format!("{description}; it is lost"));
            self.schedule_unanswered_order(process, incarnation, order.id);
            return;
        }
        if upstream.orders_to_delay > 0 {
            upstream.orders_to_delay -= 1;
            delay_ms = Some(upstream.order_delay_ms);
        }
        self.log(process, &description);
        let at =
            self.now + LOCAL_LATENCY + Duration::from_millis(delay_ms.unwrap_or(0));
        if delay_ms.is_some() {
            self.schedule_unanswered_order(process, incarnation, order.id);
        }
        let sim_event = SimEvent::OrderArrives {
            instance,
            from: (process.to_owned(), incarnation),
            order,
            answered: delay_ms.is_none(),
        };
        self.events.schedule(at, sim_event);
    }

    fn schedule_unanswered_order(
        &mut self,
        process: &str,
        incarnation: ProcessIncarnation,
        order: u64,
    ) {
        let sim_event = SimEvent::AgentEvent {
            process: process.to_owned(),
            incarnation,
            event: Box::new(AgentEvent::Upstream(UpstreamEvent::OrderAnswered {
                order,
                answer: OrderAnswer::Unanswered,
            })),
            payload: String::new(),
        };
        self.events
            .schedule(self.now.plus_ms(ORDER_TIMEOUT_MS), sim_event);
    }

    /// Handles the arrival of an order at an upstream, even if its sender is no
    /// longer running.
    pub(crate) fn order_arrives(
        &mut self,
        instance: &str,
        from: &(String, ProcessIncarnation),
        order: &Order,
        answered: bool,
    ) {
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        let (answer, started) = if upstream.up {
            upstream.accept(order)
        } else {
            (OrderAnswer::Unanswered, false)
        };
        let overcommitted_accelerator = upstream.overcommitted_accelerator();
        let upstream_incarnation = upstream.incarnation;
        let duration_ms = if order.load {
            upstream.load_ms * upstream.load_time_factor
        } else {
            UNLOAD_MS
        };
        self.log(
            instance,
            &format!("upstream receives order {}: {answer:?}", order.id),
        );
        if let Some(accelerator) = overcommitted_accelerator {
            self.record_failure(&format!(
                "{instance} accelerator {accelerator} is overcommitted"
            ));
        }
        if started {
            let sim_event = SimEvent::OrderCompletes {
                instance: instance.to_owned(),
                upstream_incarnation,
                order: order.id,
            };
            self.events
                .schedule(self.now.plus_ms(duration_ms), sim_event);
        }
        if answered {
            let event = UpstreamEvent::OrderAnswered {
                order: order.id,
                answer,
            };
            self.notify_agent(&from.0, from.1, event, String::new());
        }
    }

    pub(crate) fn order_completes(
        &mut self,
        instance: &str,
        upstream_incarnation: u64,
        order: u64,
    ) {
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        if upstream.incarnation == upstream_incarnation {
            upstream.complete_order(order);
            self.log(instance, &format!("upstream completes order {order}"));
        }
    }
}
