//! Choice of a backend server for one request.

use crate::Millis;
use crate::crossing::{self, Offer};
use crate::placement::preference::Preference;
use crate::placement::{Fleet, Listing, Server};
use crate::routing;

/// Age up to which the reported loads of other instances count as occupied slots, in milliseconds:
/// several heartbeats. Beyond, an instance that is cut off would refuse requests for loads that
/// ended long ago.
const REMOTE_LOAD_MAX_AGE_MS: Millis = 1_500;

/// What makes some servers faster for a request than others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Affinity<'a> {
    /// Nothing.
    #[default]
    None,
    /// The session of the request, whose content a server may have cached.
    Session(&'a str),
    /// The object that the request is about, by its digest. Servers that handled it lately work
    /// faster.
    Object(u64),
}

/// Query for a backend server: requirements and preferences of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Query<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Which servers are faster for the request.
    pub affinity: Affinity<'a>,
    /// Digest of the parts of the request's prompt that other requests share; `None` if there are none.
    pub shared_prompt: Option<u64>,
    /// Identifier of the server that executed the session's last request.
    pub last_server: Option<&'a str>,
    /// Whether the request begins a program.
    pub is_new: bool,
    /// Identifiers of the servers that have been attempted and are not chosen again.
    pub attempted: &'a [String],
    /// Software version that the server must have; `None` for any.
    pub software_version: Option<&'a str>,
    /// Whether the request takes up a stream, which servers of other versions cannot do.
    pub is_resumption: bool,
}

impl Query<'_> {
    /// Whether a listed server, which may be unavailable now, satisfies the requirements.
    fn admits(&self, server: &Server) -> bool {
        let listed = &server.listed;
        let has_version =
            self.software_version.is_none_or(|version| version == listed.software_version);
        !server.is_leaving() && has_version && !self.attempted.contains(&listed.id)
    }
}

impl Fleet {
    /// Whether a service has an available server with a free slot that has not been attempted.
    pub fn has_capacity(&self, now: Millis, service: &str, attempted: &[String]) -> bool {
        let mut unattempted =
            self.of_service(service).filter(|server| !attempted.contains(&server.listed.id));
        unattempted.any(|server| server.is_available(now) && server.load() < server.listed.slots)
    }

    /// Number of requests that can be placed now, `u32::MAX` at most.
    pub fn room(&self, now: Millis, query: &Query<'_>) -> u32 {
        let room = self.available(now, query).into_iter().map(|s| self.room_on(s, now, query));
        room.fold(0, u32::saturating_add)
    }

    /// Whether a listed server satisfies the query, though it may have no room now.
    pub fn has_candidate(&self, query: &Query<'_>) -> bool {
        self.of_service(query.service).any(|server| query.admits(server))
    }

    /// Software versions of the servers with room for a request, that of the chosen one first.
    pub fn versions(&self, now: Millis, query: &Query<'_>) -> Vec<&str> {
        let chosen = self.choose(now, query).map(|listed| listed.software_version.as_str());
        let mut versions: Vec<&str> = chosen.into_iter().collect();
        for server in self.available(now, query) {
            let version = server.listed.software_version.as_str();
            if !versions.contains(&version) && self.room_on(server, now, query) > 0 {
                versions.push(version);
            }
        }
        versions
    }

    /// States of the servers that satisfy the query and may be chosen. If all servers that can take
    /// up a stream are suspended, they may be chosen all the same: no other one can replace them.
    fn available(&self, now: Millis, query: &Query<'_>) -> Vec<&Server> {
        let admitted = || self.of_service(query.service).filter(|s| query.admits(s));
        let available: Vec<&Server> = admitted().filter(|s| s.is_available(now)).collect();
        if !available.is_empty() || !query.is_resumption {
            return available;
        }
        admitted().filter(|server| server.limit.permits(now) > 0).collect()
    }

    /// Number of requests that can be placed on an available server now.
    fn room_on(&self, server: &Server, now: Millis, query: &Query<'_>) -> u32 {
        let is_last = query.last_server == Some(server.listed.id.as_str());
        let all = server.listed.slots;
        let slots = match (is_last, query.is_new) {
            (true, _) => all.saturating_mul(self.settings.stay_percent) / 100,
            (false, false) => all.saturating_mul(self.settings.full_percent) / 100,
            (false, true) => all - self.reserve(all),
        };
        let is_recent = now < self.loads_at + REMOTE_LOAD_MAX_AGE_MS;
        let load = if is_recent { server.load() } else { server.outstanding };
        slots.saturating_sub(load).min(server.limit.permits(now))
    }

    /// Number of `slots` that are kept free of new programs.
    fn reserve(&self, slots: u32) -> u32 {
        let root = f64::from(slots).sqrt();
        let reserve = root * f64::from(self.settings.reserve_percent) / 100.0;
        (reserve.round() as u32).min(slots / 2)
    }

    /// Chooses a server, or `None` if none is available.
    ///
    /// [`Fleet::begin`] must be called before another request is placed.
    pub fn choose(&self, now: Millis, query: &Query<'_>) -> Option<&Listing> {
        let mut available = self.available(now, query);
        available.retain(|server| self.room_on(server, now, query) > 0);
        let last_server =
            available.iter().find(|s| query.last_server == Some(s.listed.id.as_str()));
        if let Some(last_server) =
            last_server.filter(|s| s.load_percent() < self.settings.stay_percent)
        {
            return Some(&last_server.listed);
        }
        if let Some(server) = self.for_object(&available, query.affinity) {
            return Some(&server.listed);
        }
        let is_local = |server: &&Server| server.listed.failure_domain == self.failure_domain;
        let (local, remote): (Vec<&Server>, Vec<&Server>) =
            available.into_iter().partition(is_local);
        let (local, remote) = (self.best(&local, query), self.best(&remote, query));
        let server = match (local, remote) {
            (Some(local), Some(remote)) => {
                if self.leaves(local, remote, query) {
                    Some(remote)
                } else {
                    Some(local)
                }
            }
            (local, remote) => local.or(remote),
        };
        server.map(|server| &server.listed)
    }

    /// Whether a request leaves the failure domain for the server `remote`. Requests without a session are short and leave as soon
    /// as that pays.
    fn leaves(&self, local: &Server, remote: &Server, query: &Query<'_>) -> bool {
        match query.affinity {
            Affinity::Session(session) => {
                let is_guest_welcome = remote.load_percent() < self.settings.crossing.guest_percent;
                let share = self.crossing.get(query.service).copied().unwrap_or_default();
                let session = routing::digest(session.as_bytes());
                is_guest_welcome && share.includes(session, &self.failure_domain)
            }
            Affinity::None | Affinity::Object(_) => {
                let offer = |server: &Server| Offer {
                    slowness: server.pace.ratio(local.pace.faster(remote.pace)),
                    load_percent: server.load_percent(),
                };
                crossing::pays(&self.settings.crossing, &offer(local), &offer(remote))
            }
        }
    }

    /// Chooses the server for a request about an object: the first one in the object's order that is
    /// not crowded. `None` without an object, or if all are crowded.
    fn for_object<'a>(
        &self,
        available: &[&'a Server],
        affinity: Affinity<'_>,
    ) -> Option<&'a Server> {
        let Affinity::Object(object) = affinity else {
            return None;
        };
        let is_crowded = |s: &Server| s.load_percent() >= self.settings.object_percent;
        let open = available.iter().copied().filter(|server| !is_crowded(server));
        open.max_by_key(|server| routing::mix(object, server.digest))
    }

    /// Chooses among servers that are all local or all remote.
    fn best<'a>(&self, candidates: &[&'a Server], query: &Query<'_>) -> Option<&'a Server> {
        let key = match query.affinity {
            Affinity::None => {
                let key = routing::digest(self.failure_domain.as_bytes());
                let load = |s: &&Server| (s.load(), routing::mix(key, s.digest));
                return candidates.iter().copied().min_by_key(load);
            }
            Affinity::Session(session) => routing::digest(session.as_bytes()),
            Affinity::Object(object) => {
                let load = |s: &&Server| (s.load_percent(), routing::mix(object, s.digest));
                return candidates.iter().copied().min_by_key(load);
            }
        };
        let preference = Preference::new(&self.settings, candidates, query.shared_prompt);
        let mut best_two = [None; 2];
        for server in candidates.iter().copied() {
            let scored = Some((preference.score(key, server), server));
            let score = |entry: Option<(f64, &Server)>| entry.map(|(score, _)| score);
            if score(scored) > score(best_two[0]) {
                best_two = [scored, best_two[0]];
            } else if score(scored) > score(best_two[1]) {
                best_two[1] = scored;
            }
        }
        let cost = |server: &Server| preference.cost(server);
        let by_cost = |a: &&Server, b: &&Server| cost(a).total_cmp(&cost(b));
        let best_two = best_two.into_iter().flatten().map(|(_, server)| server);
        let better = best_two.min_by(by_cost)?;
        if better.load_percent() < self.settings.spill_percent {
            return Some(better);
        }
        let by_hash = |server: &Server| routing::mix(key, server.digest);
        let ordered = |a: &&Server, b: &&Server| by_cost(a, b).then(by_hash(a).cmp(&by_hash(b)));
        candidates.iter().copied().min_by(ordered)
    }
}
