//! Time of one plan against the size of the cell.
#![allow(missing_docs)]
fn main() {}
