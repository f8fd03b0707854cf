//! Checking a document, and the log of changes.

use super::clock::{median_ns, samples};
use super::messages::{self, Fleet};
use crate::fit::{Growth, Series};
use schema::link::{ConfigChange, ConfigChanges};
use serde_json::json;
use std::hint::black_box;

const MODELS: [usize; 5] = [25, 100, 400, 1_600, 3_200];

/// A change of one model's size.
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

/// The check of a whole document, as `sesamectl` does before each publication.
pub fn check() -> Series {
    Series {
        name: "operator: check a document",
        size_of: "models",
        unit: "ns",
        growth: Growth::Power,
        samples: samples(&MODELS, |models| {
            let text = messages::document(&Fleet::of(models)).to_string();
            let faults = conf::check_fleet(&text).err();
            assert!(faults.is_none(), "{faults:?}");
            median_ns(11, |_| {
                black_box(conf::check_fleet(&text).is_ok());
            })
        }),
    }
}

/// Bytes of a document, as it stands in the platform's snapshot.
pub fn document_bytes() -> Series {
    Series {
        name: "bytes: fleet document",
        size_of: "models",
        unit: "B",
        growth: Growth::Line,
        samples: samples(&MODELS, |models| {
            messages::document(&Fleet::of(models)).to_string().len() as f64
        }),
    }
}
