//! What upstreams do with the orders they are given.

use base::prelude::*;
use role::agent::{AgentEvent, Order, OrderAnswer, UpstreamEvent};

use super::super::World;
use super::super::queue::{Happening, Start};
use super::LOCAL;

/// Time an unload takes.
const UNLOAD_MS: u64 = 50;

/// Time after which an agent gives up waiting for the answer to an order.
const ORDER_TIMEOUT_MS: u64 = 1_000;

impl World<'_> {
    /// An agent sends an order.
    pub(crate) fn send_order(&mut self, process: &str, order: Order) {
        let Some(node) = self.agents.get(process) else {
            return;
        };
        let start = node.start;
        let instance = node.instance.clone();
        let Some(upstream) = self.upstreams.get_mut(&instance) else {
            return;
        };
        let word = if order.load { "load" } else { "unload" };
        let text = format!("orders {word} {} as {}", order.model, order.id);
        let mut late_ms = None;
        if upstream.lose_orders > 0 {
            upstream.lose_orders -= 1;
            self.log(process, &format!("{text}; it is lost"));
            self.order_unanswered(process, start, order.id);
            return;
        }
        if upstream.delay_orders > 0 {
            upstream.delay_orders -= 1;
            late_ms = Some(upstream.delay_orders_ms);
        }
        self.log(process, &text);
        let at = self.now + LOCAL + Duration::from_millis(late_ms.unwrap_or(0));
        if late_ms.is_some() {
            self.order_unanswered(process, start, order.id);
        }
        let happening = Happening::Order {
            instance,
            from: (process.to_owned(), start),
            order,
            answered: late_ms.is_none(),
        };
        self.queue.add(at, happening);
    }

    fn order_unanswered(&mut self, process: &str, start: Start, order: u64) {
        let happening = Happening::Agent {
            process: process.to_owned(),
            start,
            event: Box::new(AgentEvent::Upstream(UpstreamEvent::OrderAnswered {
                order,
                answer: OrderAnswer::Unanswered,
            })),
            payload: String::new(),
        };
        self.queue
            .add(self.now.plus_ms(ORDER_TIMEOUT_MS), happening);
    }

    /// An order reaches an upstream, whoever sent it and whenever.
    pub(crate) fn order_arrives(
        &mut self,
        instance: &str,
        from: &(String, Start),
        order: &Order,
        answered: bool,
    ) {
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        let (answer, begun) = if upstream.up {
            upstream.accept(order)
        } else {
            (OrderAnswer::Unanswered, false)
        };
        let over = upstream.overcommitted();
        let run = upstream.run;
        let took_ms = if order.load {
            upstream.load_ms * upstream.slow_loads
        } else {
            UNLOAD_MS
        };
        self.log(
            instance,
            &format!("upstream gets order {}: {answer:?}", order.id),
        );
        if let Some(accelerator) = over {
            self.fail(&format!(
                "{instance} accelerator {accelerator} is overcommitted"
            ));
        }
        if begun {
            let happening = Happening::OrderDone {
                instance: instance.to_owned(),
                run,
                order: order.id,
            };
            self.queue.add(self.now.plus_ms(took_ms), happening);
        }
        if answered {
            let event = UpstreamEvent::OrderAnswered {
                order: order.id,
                answer,
            };
            self.tell_agent(&from.0, from.1, event, String::new());
        }
    }

    pub(crate) fn order_done(&mut self, instance: &str, run: u64, order: u64) {
        let Some(upstream) = self.upstreams.get_mut(instance) else {
            return;
        };
        if upstream.run == run {
            upstream.finish_order(order);
            self.log(instance, &format!("upstream ends order {order}"));
        }
    }
}
