//! The `problems` of the state dump: why parts of the traffic cannot be served now.

use {
    crate::tier::control::Control,
    rattanturn_core::catalog::{Catalog, Destination, Route},
    std::collections::BTreeMap,
};

impl Control {
    /// One line for each problem: an unreachable store, or a service without a usable target.
    pub(super) fn problems(&self) -> Vec<String> {
        let Some(catalog) = &self.cluster.catalog else {
            return vec!["no configuration is known yet: the store has not been read".into()];
        };
        let mut out: Vec<String> = self
            .cluster
            .failures
            .iter()
            .map(store_unreachable)
            .collect();
        let routes = routes_by_service(catalog);
        out.extend(routes.iter().filter_map(|(service, names)| {
            let why = self.why_unserved(service)?;
            Some(format!("service {service} of {}: {why}", names.join(", ")))
        }));
        out
    }

    /// Why no target of a service is usable; `None` if at least one is. Targets are unusable while
    /// they leave or their data centre is evacuated.
    fn why_unserved(&self, service: &str) -> Option<String> {
        let targets = self.cluster.targets.targets();
        let all: Vec<_> = targets.filter(|t| t.service == service).collect();
        let is_evacuated = |centre: &str| self.cluster.evacuations.contains(centre);
        let leaving = all.iter().filter(|t| t.leaving).count();
        let evacuated = all
            .iter()
            .filter(|t| !t.leaving && is_evacuated(&t.centre))
            .count();
        if leaving + evacuated < all.len() {
            return None;
        }
        Some(if all.is_empty() {
            "no target is registered".into()
        } else {
            format!(
                "of {} targets {leaving} leave and {evacuated} are in data centres taken out",
                all.len()
            )
        })
    }
}

fn store_unreachable((kind, failures): (&&'static str, &u64)) -> String {
    format!("the store is lost: {failures} calls for `{kind}` failed in a row")
}

/// Names of the routes that call each service.
fn routes_by_service(catalog: &Catalog) -> BTreeMap<&str, Vec<&str>> {
    let mut out: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for route in catalog.routes() {
        for service in services(route) {
            out.entry(service).or_default().push(&route.name);
        }
    }
    out
}

/// Names of all services that a route may call.
fn services(route: &Route) -> Vec<&str> {
    match &route.destination {
        Destination::Single(service) => vec![service],
        Destination::Split(shares) => shares.iter().map(|s| s.service.as_str()).collect(),
        Destination::Gather(gather) => gather.services.iter().map(String::as_str).collect(),
        Destination::Unknown => Vec::new(),
    }
}
