//! Settings of the node under test.

/// A latency objective and deadline that no test reaches, in milliseconds.
pub const LONG_MS: u64 = 20_000;

/// The longest body of a request or response that the node accepts.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Settings with the classes `read` (idempotent), `submit` (keyed) and `correct` (not idempotent),
/// which have the same times.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The latency objective and deadline of all classes.
    pub objective_ms: u64,
    /// The weight of a response after the objective, if any.
    pub late_weight: Option<f64>,
    pub drain_grace_ms: u64,
    /// The overload window of endpoints in slow start, which outlier ejection uses too.
    pub overload_window_ms: Option<u64>,
    /// Where the endpoint list must be polled: the longest time without a poll or a watch.
    pub poll_interval_ms: Option<u64>,
    /// The idle timeout of endpoints for their connections.
    pub endpoint_idle_timeout_ms: Option<u64>,
    /// Whether two attempts of a request may be in flight at once.
    pub parallel_attempts: bool,
}

impl Default for NodeSettings {
    fn default() -> Self {
        NodeSettings {
            objective_ms: LONG_MS,
            late_weight: None,
            drain_grace_ms: 2000,
            overload_window_ms: None,
            poll_interval_ms: None,
            endpoint_idle_timeout_ms: None,
            parallel_attempts: false,
        }
    }
}

impl NodeSettings {
    /// Returns settings with this latency objective and deadline.
    pub fn with_objective(objective_ms: u64) -> Self {
        NodeSettings {
            objective_ms,
            ..NodeSettings::default()
        }
    }

    /// Returns settings by which the endpoint list must be polled.
    pub fn polling() -> Self {
        NodeSettings {
            poll_interval_ms: Some(1000),
            ..NodeSettings::default()
        }
    }

    /// Returns the settings as they stand in a configuration.
    pub fn to_json(&self) -> String {
        let classes = [
            self.class("read", "free"),
            self.class("submit", "guarded"),
            self.class("correct", "single_shot"),
        ]
        .join(",");
        let registry_mode = match self.poll_interval_ms {
            Some(_) => r#""RegistryMode":"ask","#,
            None => "",
        };
        let rules = [
            member("DrainGrace", Some(self.drain_grace_ms)),
            member("TipAfter", self.overload_window_ms),
            member("MustAskIn", self.poll_interval_ms),
        ]
        .concat();
        let permissions = [
            member("IdleClose", self.endpoint_idle_timeout_ms),
            member("ParallelTries", self.parallel_attempts.then_some(true)),
        ]
        .concat();
        format!(
            r#"{{{registry_mode}"Classes":[{classes}],
            "Projects":[{{"Name":"acme","AllowancePerS":1000,"Share":1}}],
            "Localities":["a","b"],"HostTypes":["m"],"Quantum":5,"OverShareWorth":1,
            "Rules":{{{}}},"ObjectiveWeights":{{"Whole":1}},
            "LoadReport":{{"Columns":["concurrent","depth"],"Via":"piggyback"}},
            "Permissions":{{{permissions}"AttemptsCap":3,"Cancel":true,"ConnectTimeout":2000,
            "MaxRetryAfter":1500,"RetryAfter":true}}}}"#,
            rules.trim_end_matches(',')
        )
    }

    fn class(&self, name: &str, idempotency: &str) -> String {
        let late_weight = member("LateWorth", self.late_weight);
        let objective_ms = self.objective_ms;
        format!(
            r#"{{"Name":"{name}","Target":{objective_ms},"GiveUp":{objective_ms},
            "Idempotency":"{idempotency}","Group":"zone",{late_weight}"Window":60000}}"#
        )
    }
}

/// Returns a member of a JSON object and a comma; nothing without a value.
fn member(name: &str, value: Option<impl std::fmt::Display>) -> String {
    value
        .map(|value| format!(r#""{name}":{value},"#))
        .unwrap_or_default()
}
