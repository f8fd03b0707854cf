//! Executes the platform calls that the [`Publisher`] asks for.

use plat::ObjectApi;
use tokio::time::sleep;

use super::{PublishOutcome, PublishRequest, Publisher, Step};
use crate::head::RETRY_DELAY;

/// Publishes a document that was checked before.
pub async fn publish(
    platform: &dyn ObjectApi,
    request: PublishRequest,
) -> PublishOutcome {
    let mut publisher = Publisher::new(request);
    let mut step = publisher.start();
    loop {
        let op = match step {
            Step::Done(outcome) => return outcome,
            Step::Call(op) => op,
            Step::CallLater(op) => {
                sleep(RETRY_DELAY).await;
                op
            }
        };
        let result = platform.call(&op).await;
        step = publisher.handle(result);
    }
}
