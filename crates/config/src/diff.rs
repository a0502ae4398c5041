//! Comparison of two configurations and description of the effects on the fleet.

use std::cmp::Ordering;
use std::fmt::{self, Display};

use cactustrack_types::{
    Account, ApiKeyDigest, Configuration, DetectionPolicy, Quota, RequestClass, Route, Service,
};
use serde::Serialize;

/// A difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Path of the changed value, for example `services.listings.slots`.
    pub subject: String,
    /// Value before, or `None` if the subject is added.
    pub before: Option<String>,
    /// Value after, or `None` if the subject is removed.
    pub after: Option<String>,
    /// Effect on the behaviour of the fleet, as a sentence.
    pub effect: String,
}

/// All changes from one configuration to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// Changes in the order team, services, routes, need of API keys, accounts.
    pub changes: Vec<Change>,
}

impl Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return f.write_str("The fleet's behaviour does not change.");
        }
        for (index, change) in self.changes.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{}", change.effect)?;
        }
        Ok(())
    }
}

/// Compares two configurations. Their versions are ignored.
pub fn diff(old: &Configuration, new: &Configuration) -> Diff {
    let mut diff = Diff::default();
    diff.compare_value("team", &old.team, &new.team, |a, b| {
        format!("The configuration belongs to team {b} instead of {a}.")
    });
    each_pair(&old.services, &new.services, |s| &s.id, |old, new| diff.compare_service(old, new));
    let route_key = |route: &Route| format!("{}{}", route.host, route.path_prefix);
    each_pair(&old.routes, &new.routes, route_key, |old, new| diff.compare_route(old, new));
    diff.compare_value("requires_api_key", &old.requires_api_key, &new.requires_api_key, |_, b| {
        let effect = if *b {
            "need the API key of an account, except on public routes. Their headers Authorization \
             and Cactustrack-Account do not reach upstreams; the account of the key is stated"
        } else {
            "need no API key. Their headers Authorization and Cactustrack-Account reach upstreams"
        };
        format!("Requests {effect}.")
    });
    each_pair(&old.accounts, &new.accounts, |a| &a.id, |old, new| diff.compare_account(old, new));
    diff
}

/// Calls `visit` for each key of two lists, in key order, with the elements that have this key.
fn each_pair<'a, T, K: Ord>(
    old: &'a [T],
    new: &'a [T],
    key: impl Fn(&'a T) -> K,
    mut visit: impl FnMut(Option<&'a T>, Option<&'a T>),
) {
    let sorted = |list: &'a [T]| {
        let mut list: Vec<_> = list.iter().collect();
        list.sort_by_key(|element| key(element));
        list.into_iter().peekable()
    };
    let (mut old, mut new) = (sorted(old), sorted(new));
    loop {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(a), Some(b)) => key(a).cmp(&key(b)),
        };
        match order {
            Ordering::Less => visit(old.next(), None),
            Ordering::Greater => visit(None, new.next()),
            Ordering::Equal => visit(old.next(), new.next()),
        }
    }
}

impl Diff {
    fn compare_service(&mut self, old: Option<&Service>, new: Option<&Service>) {
        match (old, new) {
            (Some(old), Some(new)) => self.compare_service_fields(old, new),
            (None, Some(new)) => {
                let effect = format!(
                    "Service {} is added: {} slots and {} connections per upstream, and at least \
                     {} slots stay in service.",
                    new.id, new.slots, new.connections, new.floor_slots
                );
                self.push_added(format!("services.{}", new.id), &new.id, effect);
            }
            (Some(old), None) => {
                let effect =
                    format!("Service {} is removed and receives no more requests.", old.id);
                self.push_removed(format!("services.{}", old.id), &old.id, effect);
            }
            (None, None) => {}
        }
    }

    fn compare_service_fields(&mut self, old: &Service, new: &Service) {
        let id = &new.id;
        let subject = |field: &str| format!("services.{id}.{field}");
        self.compare_value(subject("slots"), &old.slots, &new.slots, |a, b| {
            format!(
                "An instance sends at most {b} concurrent requests to an upstream \
                 of {id} instead of {a}."
            )
        });
        self.compare_value(subject("connections"), &old.connections, &new.connections, |a, b| {
            format!(
                "The instances of the fleet share 90% of {b} connections to each upstream \
                 of {id} instead of 90% of {a}."
            )
        });
        let ejections = if new.floor_slots > old.floor_slots { "Fewer" } else { "More" };
        self.compare_value(subject("floor_slots"), &old.floor_slots, &new.floor_slots, |a, b| {
            format!(
                "{ejections} upstreams of {id} can be ejected at a time: \
                 at least {b} slots stay in service instead of {a}."
            )
        });
        self.compare_value(subject("ramp"), &old.ramp, &new.ramp, |a, b| {
            format!("A cold upstream of {id} receives its full share after {b} instead of {a}.")
        });
        self.compare_value(
            subject("retry_budget"),
            &old.retry_budget,
            &new.retry_budget,
            |a, b| {
                format!(
                    "Retries and hedges of {id} are at most {b} of its requests instead of {a}."
                )
            },
        );
        self.compare_detection(id, &old.detection, &new.detection);
    }

    fn compare_detection(&mut self, id: &str, old: &DetectionPolicy, new: &DetectionPolicy) {
        let subject = |field: &str| format!("services.{id}.detection.{field}");
        let samples = |policy: &DetectionPolicy| policy.mean_samples_between_false_alarms;
        let field = subject("mean_samples_between_false_alarms");
        let effect = if samples(new) > samples(old) {
            "Faults are detected later and false ejections are less frequent"
        } else {
            "Faults are detected earlier and false ejections are more frequent"
        };
        self.compare_value(field, &samples(old), &samples(new), |a, b| {
            format!(
                "{effect} for {id}: one false alarm in {b:e} samples \
                 of a healthy upstream instead of {a:e}."
            )
        });
        let rate = |policy: &DetectionPolicy| policy.smallest_fault_rate;
        self.compare_value(subject("smallest_fault_rate"), &rate(old), &rate(new), |a, b| {
            format!("Upstreams of {id} are ejected for fault rates of at least {b} instead of {a}.")
        });
        self.compare_value(
            subject("base_ejection"),
            &old.base_ejection,
            &new.base_ejection,
            |a, b| format!("A first ejection from {id} lasts {b} instead of {a}."),
        );
        self.compare_value(subject("slow_factor"), &old.slow_factor, &new.slow_factor, |a, b| {
            format!(
                "A response of {id} is slow from {b} times the usual response time instead of {a}."
            )
        });
    }

    fn compare_route(&mut self, old: Option<&Route>, new: Option<&Route>) {
        let name = |route: &Route| format!("{}{}", route.host, route.path_prefix);
        match (old, new) {
            (Some(old), Some(new)) => self.compare_route_fields(&name(new), old, new),
            (None, Some(new)) => {
                let without_key =
                    if new.delivery.is_public { " They need no API key." } else { "" };
                let effect = format!(
                    "Requests to {} go to {} as {} requests with a timeout of {}, {} at \
                     most.{without_key}",
                    name(new),
                    new.service,
                    new.class,
                    new.timeout,
                    new.max_timeout
                );
                self.push_added(format!("routes.{}", name(new)), &name(new), effect);
            }
            (Some(old), None) => {
                let effect = format!(
                    "The route of requests to {} to service {} is removed; a route with a shorter \
                     prefix applies to them, or they are rejected.",
                    name(old),
                    old.service
                );
                self.push_removed(format!("routes.{}", name(old)), &name(old), effect);
            }
            (None, None) => {}
        }
    }

    fn compare_route_fields(&mut self, name: &str, old: &Route, new: &Route) {
        let subject = |field: &str| format!("routes.{name}.{field}");
        self.compare_value(subject("service"), &old.service, &new.service, |a, b| {
            format!("Requests to {name} go to service {b} instead of {a}.")
        });
        self.compare_value(subject("class"), &old.class, &new.class, |a, b| {
            format!("Requests to {name} are {b} instead of {a}: {}.", class_effect(*b))
        });
        self.compare_value(subject("timeout"), &old.timeout, &new.timeout, |a, b| {
            format!("The default timeout of requests to {name} is {b} instead of {a}.")
        });
        self.compare_value(subject("max_timeout"), &old.max_timeout, &new.max_timeout, |a, b| {
            format!("Callers of {name} may request a timeout of up to {b} instead of {a}.")
        });
        let is_public = |route: &Route| route.delivery.is_public;
        self.compare_value(
            subject("delivery.is_public"),
            &is_public(old),
            &is_public(new),
            |_, b| {
                let need = if *b { "need no API key" } else { "need an API key if any route does" };
                format!("Requests to {name} {need}.")
            },
        );
    }

    fn compare_account(&mut self, old: Option<&Account>, new: Option<&Account>) {
        let weight = |account: Option<&Account>| account.map_or(1, |account| account.weight);
        let Some(Account { id, .. }) = new.or(old) else { return };
        let subject = format!("accounts.{id}");
        let (a, b) = (weight(old), weight(new));
        match (old, new) {
            (None, _) => {
                let effect = format!("Account {id} is added with the weight {b} under overload.");
                self.push_added(subject, &b, effect);
            }
            (_, None) => {
                let weight =
                    if a == 1 { "remains 1".to_owned() } else { format!("is 1 instead of {a}") };
                let effect = format!("Account {id} is removed; its weight {weight}.");
                self.push_removed(subject, &a, effect);
            }
            _ => self.compare_value(subject + ".weight", &a, &b, |a, b| {
                format!("Account {id} has the weight {b} instead of {a} under overload.")
            }),
        }
        // An account that is not listed has no keys, the highest priority and no quota.
        let unlisted = Account::new(id.clone(), 1);
        self.compare_account_fields(old.unwrap_or(&unlisted), new.unwrap_or(&unlisted));
    }

    fn compare_account_fields(&mut self, old: &Account, new: &Account) {
        let id = &new.id;
        let subject = |field: &str| format!("accounts.{id}.{field}");
        let missing_in = |of: &Account, other: &Account| {
            of.key_digests.iter().filter(|digest| !other.key_digests.contains(digest)).count()
        };
        let (added, removed) = (missing_in(new, old), missing_in(old, new));
        if added + removed > 0 {
            let before = DigestList(&old.key_digests);
            self.compare_value(
                subject("key_digests"),
                &before,
                &DigestList(&new.key_digests),
                |_, _| {
                    format!(
                        "API keys of account {id}: {added} are accepted from now on, {removed} no \
                         longer."
                    )
                },
            );
        }
        self.compare_value(subject("priority"), &old.priority, &new.priority, |a, b| {
            format!("Requests of account {id} have the priority {b} instead of {a}.")
        });
        let quota = |account: &Account| QuotaText(account.quota);
        self.compare_value(subject("quota"), &quota(old), &quota(new), |a, b| {
            format!("The limit on requests of account {id} is {b} instead of {a}.")
        });
    }

    fn compare_value<T: PartialEq + Display>(
        &mut self,
        subject: impl Into<String>,
        old: &T,
        new: &T,
        effect: impl FnOnce(&T, &T) -> String,
    ) {
        if old != new {
            let (before, after) = (Some(old.to_string()), Some(new.to_string()));
            let effect = effect(old, new);
            self.changes.push(Change { subject: subject.into(), before, after, effect });
        }
    }

    fn push_added(&mut self, subject: String, after: &dyn Display, effect: String) {
        let after = Some(after.to_string());
        self.changes.push(Change { subject, before: None, after, effect });
    }

    fn push_removed(&mut self, subject: String, before: &dyn Display, effect: String) {
        let before = Some(before.to_string());
        self.changes.push(Change { subject, before, after: None, effect });
    }
}

/// Digests of API keys as text.
#[derive(PartialEq)]
struct DigestList<'a>(&'a [ApiKeyDigest]);

impl Display for DigestList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, digest) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{digest}")?;
        }
        Ok(())
    }
}

/// A quota as text.
#[derive(PartialEq)]
struct QuotaText(Option<Quota>);

impl Display for QuotaText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(Quota { rate, burst }) => write!(f, "{rate} per second with a burst of {burst}"),
            None => f.write_str("unlimited"),
        }
    }
}

fn class_effect(class: RequestClass) -> &'static str {
    match class {
        RequestClass::Idempotent => "they may be retried and hedged",
        RequestClass::NonIdempotent => "they are executed at most once and not retried",
        RequestClass::Upload => {
            "they are executed at most once and not retried, and large bodies are streamed"
        }
        RequestClass::Large => "they may be retried, and interrupted responses are resumed",
    }
}
