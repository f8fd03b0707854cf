//! Tests of the entry's machine against hand-made agents and platform.

mod answers;
mod control;
mod crashes;
mod random;
mod retries;
mod rig;
mod waiting;
