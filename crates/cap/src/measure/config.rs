//! Cost of checking the fleet document, and changes for other measurements.

use super::messages::{self, Fleet};
use super::sampling::{measure_at_sizes, median_ns};
use crate::fit::{Growth, Series};
use schema::link::{ConfigChange, ConfigChanges};
use serde_json::json;
use std::hint::black_box;

const MODEL_COUNTS: [usize; 5] = [25, 100, 400, 1_600, 3_200];

/// A configuration change that sets the size of one model.
pub fn change(revision: u64, model: usize) -> ConfigChanges {
    let size_mib = messages::MODEL_MIB + (revision % 64) as u32;
    let patch = json!({"models": {messages::model(model): {"size_mib": size_mib}}});
    ConfigChanges {
        changes: vec![ConfigChange {
            revision,
            patch: patch.to_string().into_bytes(),
        }],
        ..ConfigChanges::default()
    }
}

/// Duration of the check of a whole document, which `sesamectl` does before
/// each publication.
pub fn document_check() -> Series {
    Series {
        name: "operator: check a document",
        size_of: "models",
        unit: "ns",
        growth: Growth::PowerLaw,
        samples: measure_at_sizes(&MODEL_COUNTS, |models| {
            let text = messages::document(&Fleet::with_models(models)).to_string();
            let diagnostics = conf::check_fleet(&text).err();
            assert!(diagnostics.is_none(), "{diagnostics:?}");
            median_ns(11, |_| {
                black_box(conf::check_fleet(&text).is_ok());
            })
        }),
    }
}

/// Bytes of the fleet document, as stored in the snapshot on the platform.
pub fn document_bytes() -> Series {
    Series {
        name: "bytes: fleet document",
        size_of: "models",
        unit: "B",
        growth: Growth::Linear,
        samples: measure_at_sizes(&MODEL_COUNTS, |models| {
            messages::document(&Fleet::with_models(models))
                .to_string()
                .len() as f64
        }),
    }
}
