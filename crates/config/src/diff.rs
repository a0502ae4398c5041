//! What a new configuration changes in the behaviour of the fleet.

use std::cmp::Ordering;
use std::fmt::{self, Display};

use cactustrack_types::{Account, Configuration, DetectionPolicy, RequestClass, Route, Service};
use serde::Serialize;

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// What changes, for example `services.listings.slots`.
    pub subject: String,
    /// Value before, or `None` if the subject is added.
    pub before: Option<String>,
    /// Value after, or `None` if the subject is removed.
    pub after: Option<String>,
    /// What the fleet does differently, as a sentence.
    pub effect: String,
}

/// All changes from one configuration to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// The changes: team, services, routes, accounts.
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

/// Compares two configurations. Versions are not compared.
pub fn diff(old: &Configuration, new: &Configuration) -> Diff {
    let mut diff = Diff::default();
    diff.value("team", &old.team, &new.team, |a, b| {
        format!("The configuration belongs to team {b} instead of {a}.")
    });
    each_pair(&old.services, &new.services, |s| &s.id, |old, new| diff.service(old, new));
    let route_key = |route: &Route| format!("{}{}", route.host, route.path_prefix);
    each_pair(&old.routes, &new.routes, route_key, |old, new| diff.route(old, new));
    each_pair(&old.accounts, &new.accounts, |a| &a.id, |old, new| diff.account(old, new));
    diff
}

/// Walks two lists in the order of a key and pairs the elements with equal keys.
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
    fn service(&mut self, old: Option<&Service>, new: Option<&Service>) {
        match (old, new) {
            (Some(old), Some(new)) => self.changed_service(old, new),
            (None, Some(new)) => {
                let effect = format!(
                    "Service {} is added: {} slots and {} connections per upstream, and at least \
                     {} slots stay in service.",
                    new.id, new.slots, new.connections, new.floor_slots
                );
                self.added(format!("services.{}", new.id), &new.id, effect);
            }
            (Some(old), None) => {
                let effect = format!("Service {} is removed and gets no more requests.", old.id);
                self.removed(format!("services.{}", old.id), &old.id, effect);
            }
            (None, None) => {}
        }
    }

    fn changed_service(&mut self, old: &Service, new: &Service) {
        let id = &new.id;
        let subject = |field: &str| format!("services.{id}.{field}");
        self.value(subject("slots"), &old.slots, &new.slots, |a, b| {
            format!(
                "An instance sends at most {b} requests at a time to an upstream \
                 of {id} instead of {a}."
            )
        });
        self.value(subject("connections"), &old.connections, &new.connections, |a, b| {
            format!(
                "The fleet divides 90% of {b} connections to each upstream \
                 of {id} instead of 90% of {a}."
            )
        });
        let ejections = if new.floor_slots > old.floor_slots { "Fewer" } else { "More" };
        self.value(subject("floor_slots"), &old.floor_slots, &new.floor_slots, |a, b| {
            format!(
                "{ejections} upstreams of {id} can be ejected at a time: \
                 at least {b} slots stay in service instead of {a}."
            )
        });
        self.value(subject("ramp"), &old.ramp, &new.ramp, |a, b| {
            format!("A cold upstream of {id} gets its full share after {b} instead of {a}.")
        });
        self.value(subject("retry_budget"), &old.retry_budget, &new.retry_budget, |a, b| {
            format!("Retries and hedges of {id} are at most {b} of its requests instead of {a}.")
        });
        self.detection(id, &old.detection, &new.detection);
    }

    fn detection(&mut self, id: &str, old: &DetectionPolicy, new: &DetectionPolicy) {
        let subject = |field: &str| format!("services.{id}.detection.{field}");
        let samples = |policy: &DetectionPolicy| policy.mean_samples_between_false_alarms;
        let field = subject("mean_samples_between_false_alarms");
        let effect = if samples(new) > samples(old) {
            "Faults are detected later and false ejections are rarer"
        } else {
            "Faults are detected earlier and false ejections are more frequent"
        };
        self.value(field, &samples(old), &samples(new), |a, b| {
            format!(
                "{effect} on {id}: one false alarm in {b:e} samples \
                 of a healthy upstream instead of {a:e}."
            )
        });
        let rate = |policy: &DetectionPolicy| policy.smallest_fault_rate;
        self.value(subject("smallest_fault_rate"), &rate(old), &rate(new), |a, b| {
            format!("Upstreams of {id} are ejected for fault rates from {b} up instead of {a}.")
        });
        self.value(subject("base_ejection"), &old.base_ejection, &new.base_ejection, |a, b| {
            format!("A first ejection from {id} lasts {b} instead of {a}.")
        });
        self.value(subject("slow_factor"), &old.slow_factor, &new.slow_factor, |a, b| {
            format!(
                "A response of {id} counts as slow from {b} times the usual time on instead of {a}."
            )
        });
    }

    fn route(&mut self, old: Option<&Route>, new: Option<&Route>) {
        let name = |route: &Route| format!("{}{}", route.host, route.path_prefix);
        match (old, new) {
            (Some(old), Some(new)) => self.changed_route(&name(new), old, new),
            (None, Some(new)) => {
                let effect = format!(
                    "Requests to {} go to {} as {} requests with a timeout of {}, {} at most.",
                    name(new),
                    new.service,
                    new.class,
                    new.timeout,
                    new.max_timeout
                );
                self.added(format!("routes.{}", name(new)), &name(new), effect);
            }
            (Some(old), None) => {
                let effect = format!(
                    "Requests to {} no longer go to {} by a route of their own; a shorter prefix \
                     applies, or they are rejected.",
                    name(old),
                    old.service
                );
                self.removed(format!("routes.{}", name(old)), &name(old), effect);
            }
            (None, None) => {}
        }
    }

    fn changed_route(&mut self, name: &str, old: &Route, new: &Route) {
        let subject = |field: &str| format!("routes.{name}.{field}");
        self.value(subject("service"), &old.service, &new.service, |a, b| {
            format!("Requests to {name} go to service {b} instead of {a}.")
        });
        self.value(subject("class"), &old.class, &new.class, |a, b| {
            format!("Requests to {name} are {b} instead of {a}: {}.", class_effect(*b))
        });
        self.value(subject("timeout"), &old.timeout, &new.timeout, |a, b| {
            format!("Requests to {name} have {b} instead of {a} unless the caller names a timeout.")
        });
        self.value(subject("max_timeout"), &old.max_timeout, &new.max_timeout, |a, b| {
            format!("Callers of {name} may ask for a timeout of up to {b} instead of {a}.")
        });
    }

    fn account(&mut self, old: Option<&Account>, new: Option<&Account>) {
        let weight = |account: Option<&Account>| account.map_or(1, |account| account.weight);
        let Some(Account { id, .. }) = new.or(old) else { return };
        let subject = format!("accounts.{id}");
        let (a, b) = (weight(old), weight(new));
        match (old, new) {
            (None, _) => {
                let effect =
                    format!("Account {id} is named and has the weight {b} under overload.");
                self.added(subject, &b, effect);
            }
            (_, None) => {
                let weight =
                    if a == 1 { "stays 1".to_owned() } else { format!("is 1 instead of {a}") };
                let effect = format!("Account {id} is no longer named; its weight {weight}.");
                self.removed(subject, &a, effect);
            }
            _ => self.value(subject + ".weight", &a, &b, |a, b| {
                format!("Account {id} has the weight {b} instead of {a} under overload.")
            }),
        }
    }

    fn value<T: PartialEq + Display>(
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

    fn added(&mut self, subject: String, after: &dyn Display, effect: String) {
        let after = Some(after.to_string());
        self.changes.push(Change { subject, before: None, after, effect });
    }

    fn removed(&mut self, subject: String, before: &dyn Display, effect: String) {
        let before = Some(before.to_string());
        self.changes.push(Change { subject, before, after: None, effect });
    }
}

fn class_effect(class: RequestClass) -> &'static str {
    match class {
        RequestClass::Idempotent => "they may be retried and hedged",
        RequestClass::NonIdempotent => "they run at most once and are not retried",
        RequestClass::Large => "they may be retried, and interrupted responses are resumed",
    }
}
