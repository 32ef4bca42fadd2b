//! Software versions that the lists of backend servers have shown, by service.
//!
//! A stream that broke off may go on only at the version that began it. If the request that takes
//! it up doesn't name the first one, it is enough that the service has had one version for as
//! long as a stream lasts.

use crate::Millis;
use serde::{Deserialize, Serialize};
use state::collections::Map;

/// Versions of one service, and for how long the lists have shown them and no others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// Name of the service.
    pub service: String,
    /// Sorted, without duplicates.
    pub versions: Vec<String>,
    /// Time since the first list in a row that showed them, in milliseconds.
    pub age_ms: Millis,
}

/// What this instance knows of the versions of one service.
#[derive(Debug, Clone)]
struct Versions {
    /// Sorted, without duplicates.
    current: Vec<String>,
    /// Time of the first list in a row that shows these versions.
    since: Millis,
    /// Whether the lists of this instance have shown no others before.
    is_first: bool,
    /// Time before `since` for which another instance has seen them, in milliseconds.
    earlier_ms: Millis,
}

impl Versions {
    fn age_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.since).saturating_add(self.earlier_ms)
    }
}

/// What one instance knows of the versions of all services.
#[derive(Debug, Clone, Default)]
pub struct History {
    by_service: Map<String, Versions>,
}

impl History {
    /// Records a list of servers, each as its service and version, that was read at `now`.
    pub fn update<'a>(&mut self, now: Millis, servers: impl Iterator<Item = (&'a str, &'a str)>) {
        let mut listed: Map<&str, Vec<&str>> = Map::default();
        for (service, version) in servers {
            listed.entry(service).or_default().push(version);
        }
        for (service, mut versions) in listed {
            versions.sort_unstable();
            versions.dedup();
            let known = self.by_service.get(service);
            if known.is_none_or(|known| known.current != versions) {
                let is_first = known.is_none();
                let current = versions.into_iter().map(str::to_owned).collect();
                let versions = Versions { current, since: now, is_first, earlier_ms: 0 };
                self.by_service.insert(service.to_owned(), versions);
            }
        }
    }

    /// Adds what another instance knows of the time before the first list of this one. It counts
    /// for the services whose versions are the same here.
    pub fn extend(&mut self, now: Millis, settled: &[Settled]) {
        for Settled { service, versions, age_ms } in settled {
            let known = self.by_service.get_mut(service);
            let known = known.filter(|known| known.is_first && known.current == *versions);
            if let Some(known) = known {
                known.earlier_ms += age_ms.saturating_sub(known.age_ms(now));
            }
        }
    }

    /// Returns the versions of all services.
    pub fn settled(&self, now: Millis) -> Vec<Settled> {
        let settled = |(service, versions): (&String, &Versions)| Settled {
            service: service.clone(),
            versions: versions.current.clone(),
            age_ms: versions.age_ms(now),
        };
        self.by_service.iter().map(settled).collect()
    }

    /// The version that all servers of a service have had for at least `period` milliseconds;
    /// `None` if there are several, no server is listed, or the lists do not go back that far.
    pub fn only(&self, now: Millis, service: &str, period: Millis) -> Option<&str> {
        let versions = self.by_service.get(service)?;
        match versions.current.as_slice() {
            [only] if versions.age_ms(now) >= period => Some(only),
            _ => None,
        }
    }
}
