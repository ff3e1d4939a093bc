//! Both tables as the one object that the platform keeps.
//!
//! The texts are kept as lists of lines, so that an edit changes a few lines of the object and
//! daemons can pass it on as a patch.
//!
//! The object also records into how many units the targets of each pool and data centre are
//! divided. The numbers are computed once and kept by every later edit: a target that changed its
//! unit could be used by the old and the new unit's holder for a while, so growth of a pool must
//! not move targets by accident.

use {
    crate::{
        finding::Findings,
        tables::{Pool, Tables, parse_tables},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Targets in a unit, on average at most, when its pool is first seen.
const UNIT_TARGETS: usize = 8;

/// Both tables as one object, so that an edit of both takes effect at once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablesObject {
    /// Text of routes.ini, kept as a list of lines.
    #[serde(with = "lines")]
    pub routes: String,
    /// Text of pools.ini, kept as a list of lines.
    #[serde(with = "lines")]
    pub pools: String,
    /// Number of units by `POOL/DATA-CENTRE`.
    #[serde(default)]
    pub units: BTreeMap<String, usize>,
    /// Who wrote it.
    pub editor: String,
    /// When it was written, in milliseconds since 1970.
    pub written: u64,
}

/// A text as a list of lines.
mod lines {
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(text: &str, out: S) -> Result<S::Ok, S::Error> {
        out.collect_seq(text.split('\n'))
    }

    pub(super) fn deserialize<'a, D: Deserializer<'a>>(input: D) -> Result<String, D::Error> {
        let lines: Vec<String> = Vec::deserialize(input)?;
        Ok(lines.join("\n"))
    }
}

impl TablesObject {
    /// Makes the object that follows `previous`.
    ///
    /// # Errors
    ///
    /// All findings, when at least one of them is an error.
    ///
    /// ```
    /// use rattanturn_tables::TablesObject;
    /// let pools = "[data-centre a]\nregion = r\n\
    ///              [pool p]\nslots = 2\nconnections = 25\n\
    ///              [service p/one]\ntargets = a@127.0.0.1:9000\n";
    /// let object = TablesObject::new("", pools, None).unwrap();
    /// assert_eq!(object.units["p/a"], 1);
    /// ```
    pub fn new(routes: &str, pools: &str, previous: Option<&Self>) -> Result<Self, Findings> {
        let (tables, _) = parse_tables(routes, pools)?;
        let mut units = previous.map(|p| p.units.clone()).unwrap_or_default();
        for pool in tables.pools.values() {
            for centre in centres(pool) {
                units
                    .entry(unit_key(pool, centre))
                    .or_insert_with(|| unit_count(pool, centre));
            }
        }
        let (routes, pools) = (routes.into(), pools.into());
        Ok(Self {
            routes,
            pools,
            units,
            editor: String::new(),
            written: 0,
        })
    }

    /// Checks and joins the tables; returns them with the warnings.
    ///
    /// # Errors
    ///
    /// All findings, when at least one of them is an error.
    pub fn parse(&self) -> Result<(Tables, Findings), Findings> {
        let (mut out, warnings) = parse_tables(&self.routes, &self.pools)?;
        out.units.clone_from(&self.units);
        Ok((out, warnings))
    }
}

impl Tables {
    /// Number of units that the targets of a pool in a data centre are divided into.
    #[must_use]
    pub fn unit_count(&self, pool: &Pool, centre: &str) -> usize {
        let kept = self.units.get(&unit_key(pool, centre)).copied();
        kept.unwrap_or_else(|| unit_count(pool, centre)).max(1)
    }
}

fn unit_key(pool: &Pool, centre: &str) -> String {
    format!("{}/{centre}", pool.name)
}

fn centres(pool: &Pool) -> BTreeSet<&str> {
    pool.services
        .iter()
        .flat_map(|s| &s.targets)
        .map(|t| t.centre.as_str())
        .collect()
}

fn unit_count(pool: &Pool, centre: &str) -> usize {
    let targets = pool.services.iter().flat_map(|s| &s.targets);
    let count = targets.filter(|t| t.centre == centre).count();
    count.div_ceil(UNIT_TARGETS).next_power_of_two()
}
