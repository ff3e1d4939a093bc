//! Applies versions of the configuration, from the store or from a peer.
//!
//! Versions only rise. One that cannot be applied as a whole leaves the current one in force.

use {
    super::ClusterState,
    rattanturn_core::accounts::Finding,
    rattanturn_platform::entries::{self, ConfigError},
    serde_json::Value,
    std::sync::Arc,
};

/// Findings in the accounts of one configuration that are logged one by one.
const MAX_LOGGED_FINDINGS: usize = 20;

impl ClusterState {
    /// Version of the configuration; 0 if none is known.
    pub(crate) fn config_version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |c| c.version())
    }

    /// Newest version of the configuration that need not be fetched: the one that is known, or a newer one
    /// that cannot be applied.
    pub(crate) fn seen_version(&self) -> u64 {
        self.config_version().max(self.refused_version)
    }

    /// Applies a configuration that a peer sent. One that cannot be applied is not fetched again.
    pub(crate) fn apply_fetched_catalog(&mut self, version: u64, spec: &Value) {
        self.apply_catalog(spec, "peer");
        if self.config_version() < version {
            self.refused_version = self.refused_version.max(version);
        }
    }

    /// Applies a configuration if its version is newer than the current one's. `from` names its
    /// source in the log.
    pub(crate) fn apply_catalog(&mut self, spec: &Value, from: &str) {
        // The store is listed again after each lost watch, and decoding takes a while.
        if entries::catalog_version(spec).is_some_and(|version| version <= self.config_version()) {
            return;
        }
        let decoded = match entries::decode_catalog(spec) {
            Ok(decoded) => decoded,
            Err(ConfigError::Accounts(findings)) => {
                log_findings(&findings, spec, from);
                return;
            }
            Err(ConfigError::Malformed(error)) => {
                tracing::error!(%error, from, "cannot parse a configuration; kept the current one");
                return;
            }
        };
        let version = decoded.catalog.version();
        self.note_unreadable(entries::CATALOG.0, &decoded.unusable);
        let unusable = decoded.unusable.len();
        tracing::info!(version, from, unusable, "applied a newer configuration");
        self.catalog = Some(Arc::new(decoded.catalog));
        self.catalog_spec = entries::catalog_lines(spec);
    }
}

/// Logs why the accounts of a configuration cannot be used.
fn log_findings(findings: &[Finding], spec: &Value, from: &str) {
    let version = spec["version"].as_u64();
    for finding in findings.iter().take(MAX_LOGGED_FINDINGS) {
        let (account, field, problem) = (&finding.account, finding.field, finding.problem);
        tracing::warn!(version, from, %account, field, problem, "finding in the accounts");
    }
    let count = findings.len();
    tracing::error!(
        version,
        from,
        findings = count,
        "a configuration has findings; kept the current one"
    );
}
