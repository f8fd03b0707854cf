//! The configuration files under `deploy/` are valid and match the users'
//! requirements.

use access::Credential;
use conf::{Config, check_agent_settings, check_entry_settings, check_fleet};
use schema::settings::Fleet;
use std::collections::BTreeSet;

const GIB_MIB: u32 = 1_024;

fn fleet(text: &str) -> Fleet {
    let (fleet, _) = check_fleet(text).expect("the file is valid");
    fleet
}

fn harbourline() -> Fleet {
    fleet(include_str!("../../../deploy/harbourline.jsonc"))
}

fn naskhah() -> Fleet {
    fleet(include_str!("../../../deploy/naskhah.jsonc"))
}

#[test]
fn deployment_sizes_match_the_users_figures() {
    let cases = [
        (harbourline(), 3, [("oracle", 18), ("deskapp", 3)], 100, 6),
        (naskhah(), 4, [("pembaca", 18), ("portal", 4)], 95, 23),
    ];
    for (fleet, domains, pools, adapters, full_speed) in cases {
        assert_eq!(fleet.failure_domains.len(), domains);
        for (name, instances) in pools {
            assert_eq!(fleet.pools[name].instances, instances, "{name}");
            assert_eq!(fleet.pools[name].failure_domains.len(), domains, "{name}");
        }
        assert_eq!(fleet.models.len(), 40);
        assert_eq!(fleet.adapters.len(), adapters);
        for (name, model) in &fleet.models {
            let range = 65 * GIB_MIB..=72 * GIB_MIB;
            assert!(range.contains(&model.size_mib), "{name}");
        }
        let store = fleet.store.expect("the file gives the store");
        assert_eq!(store.loads_per_s, 2.0);
        assert_eq!(store.full_speed_loads, full_speed);
    }
}

#[test]
fn every_model_and_adapter_is_named_by_a_profile() {
    for fleet in [harbourline(), naskhah()] {
        let profiles = fleet.profiles.values();
        let named: BTreeSet<_> = profiles.flat_map(|p| &p.models).collect();
        let defined: BTreeSet<_> =
            fleet.models.keys().chain(fleet.adapters.keys()).collect();
        assert_eq!(named, defined, "{}", fleet.deployment);
    }
}

#[test]
fn weights_and_idempotency_match_the_users_requirements() {
    let (harbourline, naskhah) = (harbourline(), naskhah());
    let weights = harbourline.weights.expect("given");
    assert!(weights.attainment > weights.move_cost);
    let weights = naskhah.weights.expect("given");
    assert!(weights.move_cost > weights.attainment);
    assert!(!harbourline.services["parts-order"].idempotent);
    assert!(!naskhah.services["receipt"].idempotent);
    for fleet in [harbourline, naskhah] {
        let config = Config::new(base::Revision(1), fleet);
        assert!(config.caller(&Credential::from_key("demo-key")).is_some());
    }
}

#[test]
fn process_settings_are_valid() {
    check_entry_settings(include_str!("../../../deploy/entry.jsonc")).expect("entry");
    check_agent_settings(include_str!("../../../deploy/agent.jsonc")).expect("agent");
}
