//! Both tables as a single object in the platform's store.
//!
//! A single object makes an edit of both tables atomic. The texts are stored as lists of lines, so
//! that an edit changes few lines of the object and daemons can send it to each other as a
//! line-based patch.
//!
//! The object also records the number of units for each pool and data centre. A unit is the group
//! of targets that one daemon leases together. The numbers are computed when a pool is added and
//! are kept by every later edit, although the pool may grow: a new number would move targets
//! between units, and for a while the holders of both the old and the new unit could use such a
//! target.

use {
    crate::{
        finding::Findings,
        tables::{Pool, Tables, parse_tables},
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Largest mean number of targets in a unit when the number of units is computed.
const TARGETS_PER_UNIT: usize = 8;

/// Both tables as one object, so that an edit of both is atomic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablesObject {
    /// Text of `routes.ini`, serialized as a list of lines.
    #[serde(with = "lines")]
    pub routes: String,
    /// Text of `pools.ini`, serialized as a list of lines.
    #[serde(with = "lines")]
    pub pools: String,
    /// Number of units, by `POOL/DATA-CENTRE`.
    #[serde(default)]
    pub units: BTreeMap<String, usize>,
    /// Name of the operator who wrote this version; set by the writer.
    pub editor: String,
    /// Time of writing in milliseconds since the Unix epoch; set by the writer.
    pub written: u64,
}

/// Serializes a text as a list of lines.
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
    /// Checks the tables and creates the object that replaces `previous`.
    ///
    /// The numbers of units in `previous` are kept. `editor` is left empty and `written` zero
    /// for the writer to set.
    ///
    /// # Errors
    ///
    /// All findings, warnings included, if at least one of them is an error.
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

    /// Parses and checks the tables and returns them with the warnings.
    ///
    /// # Errors
    ///
    /// All findings, warnings included, if at least one of them is an error.
    pub fn parse(&self) -> Result<(Tables, Findings), Findings> {
        let (mut out, warnings) = parse_tables(&self.routes, &self.pools)?;
        out.units.clone_from(&self.units);
        Ok((out, warnings))
    }
}

impl Tables {
    /// Returns the number of units into which the targets of a pool in a data centre are divided.
    ///
    /// This is the recorded number, or the computed one if the tables do not record it; at least 1.
    #[must_use]
    pub fn unit_count(&self, pool: &Pool, centre: &str) -> usize {
        let recorded = self.units.get(&unit_key(pool, centre)).copied();
        recorded.unwrap_or_else(|| unit_count(pool, centre)).max(1)
    }
}

fn unit_key(pool: &Pool, centre: &str) -> String {
    format!("{}/{centre}", pool.name)
}

/// Data centres in which a pool has targets.
fn centres(pool: &Pool) -> BTreeSet<&str> {
    pool.services
        .iter()
        .flat_map(|s| &s.targets)
        .map(|t| t.centre.as_str())
        .collect()
}

/// Computes the number of units for the targets that a pool now has, as a power of two.
fn unit_count(pool: &Pool, centre: &str) -> usize {
    let targets = pool.services.iter().flat_map(|s| &s.targets);
    let count = targets.filter(|t| t.centre == centre).count();
    count.div_ceil(TARGETS_PER_UNIT).next_power_of_two()
}
