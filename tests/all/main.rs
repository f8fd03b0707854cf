//! Tests of the whole system, one module for each topic.

mod docs;
mod processes;
mod random;
mod red;
mod scenario_language;
mod scenarios;

use libtest_mimic::{Arguments, Trial};

fn main() {
    let arguments = Arguments::from_args();
    let mut trials: Vec<Trial> = Vec::new();
    trials.extend(docs::trials());
    trials.extend(scenarios::trials());
    trials.extend(processes::trials());
    trials.extend(random::trials());
    trials.extend(scenario_language::trials());
    trials.extend(red::known_red_list_trials(&trials));
    libtest_mimic::run(&arguments, trials).exit();
}
