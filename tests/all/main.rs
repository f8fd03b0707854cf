//! Tests of the whole system: one module a theme.

mod docs;
mod scenarios;

use libtest_mimic::{Arguments, Trial};

fn main() {
    let arguments = Arguments::from_args();
    let mut trials: Vec<Trial> = Vec::new();
    trials.extend(docs::trials());
    trials.extend(scenarios::trials());
    libtest_mimic::run(&arguments, trials).exit();
}
