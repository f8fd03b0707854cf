//! Carries out the machine's calls.

use plat::ObjectApi;
use tokio::time::sleep;

use super::{Outcome, Publisher, Request, Step};
use crate::head::TRY_PAUSE;

/// Publishes a checked document.
pub async fn publish(platform: &dyn ObjectApi, request: Request) -> Outcome {
    let mut publisher = Publisher::new(request);
    let mut step = publisher.begin();
    loop {
        let op = match step {
            Step::Done(outcome) => return outcome,
            Step::Call(op) => op,
            Step::CallLater(op) => {
                sleep(TRY_PAUSE).await;
                op
            }
        };
        let result = platform.call(&op).await;
        step = publisher.handle(result);
    }
}
