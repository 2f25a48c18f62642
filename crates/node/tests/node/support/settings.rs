//! Builds the settings in the configuration of the node under test.

/// A latency objective and deadline that no test reaches, in milliseconds.
pub(crate) const LONG_DEADLINE_MS: u64 = 20_000;

/// The maximum size of a request or response body that the node accepts.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;

/// Settings with the classes `read` (idempotent), `submit` (idempotent by key) and `correct` (not
/// idempotent), which have the same latency objective and deadline.
#[derive(Clone, Debug)]
pub(crate) struct NodeSettings {
    /// The latency objective, which is also the deadline, of all classes.
    pub objective_ms: u64,
    /// The weight of a response that arrives after the latency objective, if any.
    pub late_weight: Option<f64>,
    pub drain_grace_ms: u64,
    /// The overload window of endpoints in slow start. Outlier ejection uses it too.
    pub overload_window_ms: Option<u64>,
    /// The poll interval, if the endpoint list must be polled: the longest time without a poll or a
    /// watch.
    pub poll_interval_ms: Option<u64>,
    /// The time after which endpoints close an idle connection.
    pub endpoint_idle_timeout_ms: Option<u64>,
    /// Whether two attempts of a request may be in flight at once.
    pub parallel_attempts: bool,
}

impl Default for NodeSettings {
    fn default() -> Self {
        NodeSettings {
            objective_ms: LONG_DEADLINE_MS,
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
    /// Returns settings with `objective_ms` as latency objective and deadline.
    pub(crate) fn with_objective(objective_ms: u64) -> Self {
        NodeSettings {
            objective_ms,
            ..NodeSettings::default()
        }
    }

    /// Returns settings that require polling of the endpoint list.
    pub(crate) fn polling() -> Self {
        NodeSettings {
            poll_interval_ms: Some(1000),
            ..NodeSettings::default()
        }
    }

    /// Returns the settings as JSON for a configuration file.
    pub(crate) fn to_json(&self) -> String {
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

/// Returns a member of a JSON object with a trailing comma, or nothing if there is no value.
fn member(name: &str, value: Option<impl std::fmt::Display>) -> String {
    value
        .map(|value| format!(r#""{name}":{value},"#))
        .unwrap_or_default()
}
