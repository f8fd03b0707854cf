//! Which connections give way to new ones.

use inbound::{ConnectionPermit, ConnectionTable, TableFull};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::advance;

fn fill(table: &Arc<ConnectionTable>, count: usize) -> Vec<ConnectionPermit> {
    let admit = |_| table.admit().expect("a free place").0;
    (0..count).map(admit).collect()
}

#[tokio::test(start_paused = true)]
async fn the_connection_that_rested_longest_gives_way() {
    let table = ConnectionTable::new(3);
    let open = fill(&table, 3);
    for permit in &open {
        advance(Duration::from_millis(10)).await;
        permit.activity().rest_idle();
    }
    open[0].activity().busy();
    let (_new, eviction) = table.admit().expect("one rests");
    assert_eq!(eviction.map(|eviction| eviction.phase), Some("idle"));
    open[1].activity().evicted().await;
}

/// Guards against requests in progress that are cut off for new connections.
#[tokio::test(start_paused = true)]
async fn a_connection_in_use_does_not_give_way() {
    let table = ConnectionTable::new(2);
    let open = fill(&table, 2);
    for permit in &open {
        permit.activity().busy();
    }
    advance(Duration::from_secs(60)).await;
    assert_eq!(table.admit().err(), Some(TableFull));
}

/// Guards against new connections that displace each other before any has sent its head.
#[tokio::test(start_paused = true)]
async fn a_new_connection_has_time_for_its_head() {
    let table = ConnectionTable::new(2);
    let _open = fill(&table, 2);
    assert_eq!(table.admit().err(), Some(TableFull));
    advance(Duration::from_secs(1)).await;
    assert!(table.admit().is_ok());
}

/// Guards against a table that goes far over its limit while evicted connections close.
#[tokio::test(start_paused = true)]
async fn few_connections_give_way_at_a_time() {
    let table = ConnectionTable::new(100);
    let open = fill(&table, 100);
    for permit in &open {
        permit.activity().rest_idle();
    }
    let mut further = Vec::new();
    while let Ok((permit, _)) = table.admit() {
        permit.activity().busy();
        further.push(permit);
    }
    assert!(further.len() <= 32, "{}", further.len());
    drop(open);
    assert!(table.admit().is_ok());
}
