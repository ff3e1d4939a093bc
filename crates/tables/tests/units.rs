//! The recorded number of units does not change when a pool grows, because a new number would move
//! targets between units.

use {rattanturn_tables::TablesObject, std::fmt::Write};

fn pools(services: usize) -> String {
    let mut out =
        String::from("[data-centre a]\nregion = r\n[pool p]\nslots = 2\nconnections = 9\n");
    for i in 0..services {
        let _ = write!(
            out,
            "[service p/s{i}]\ntargets = a@127.0.0.1:{}\n",
            9_000 + i
        );
    }
    out
}

#[test]
fn a_pool_that_grows_keeps_its_number_of_units() {
    let first = TablesObject::new("", &pools(10), None).unwrap();
    assert_eq!(first.units["p/a"], 2);
    let grown = TablesObject::new("", &pools(40), Some(&first)).unwrap();
    assert_eq!(grown.units["p/a"], 2);
    let (tables, _) = grown.parse().unwrap();
    assert_eq!(tables.unit_count(&tables.pools["p"], "a"), 2);
    let fresh = TablesObject::new("", &pools(40), None).unwrap();
    assert_eq!(fresh.units["p/a"], 8);
}
