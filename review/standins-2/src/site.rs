//! Small deployments, from the figures of their site files, and calls of their clients.

use crate::client::{Answer, Call, Client};
use crate::discovery::{Discovery, Entry};
use crate::server::{Model, Server, delay_proxy};
use crate::settings::{NodeConfig, ankara, bogota};
use crate::world::{Dice, Node, Record, free_port};
use std::path::Path;
use std::time::Duration;

/// A deployment, from the figures of its site file.
pub struct Site {
    pub nodes: usize,
    pub servers: usize,
    pub zones: &'static [&'static str],
    pub requests_per_s: f64,
    pub model: Model,
    /// The delay of the network each way, in microseconds: within a zone, and across zones.
    pub delay_us: (u64, u64),
    pub classes: &'static [Class],
    pub settings: fn(usize, usize) -> String,
}

pub struct Class {
    pub name: &'static str,
    /// The upper end of its part of the requests.
    pub up_to: f64,
    pub safe: bool,
    pub budget_ms: u64,
}

pub const BOGOTA: Site = Site {
    nodes: 2,
    servers: 10,
    zones: &["bog-1"],
    requests_per_s: 92.0,
    model: Model {
        slots: 1,
        work_ms: (55.0, 85.0),
        long_work: None,
        reports_in_answers: false,
    },
    delay_us: (150, 150),
    classes: &[
        Class {
            name: "issue-read",
            up_to: 0.4,
            safe: true,
            budget_ms: 350,
        },
        Class {
            name: "event-ingest",
            up_to: 0.77,
            safe: false,
            budget_ms: 350,
        },
        Class {
            name: "issue-update",
            up_to: 1.0,
            safe: false,
            budget_ms: 350,
        },
    ],
    settings: bogota,
};

pub const ANKARA: Site = Site {
    nodes: 3,
    servers: 9,
    zones: &["salon-a", "salon-b", "salon-c"],
    requests_per_s: 220.0,
    model: Model {
        slots: 16,
        work_ms: (30.0, 60.0),
        long_work: Some(("/hizala", 123.0)),
        reports_in_answers: true,
    },
    delay_us: (200, 600),
    classes: &[
        Class {
            name: "dinle",
            up_to: 0.4,
            safe: true,
            budget_ms: 800,
        },
        Class {
            name: "yazi-kaydet",
            up_to: 0.7,
            safe: false,
            budget_ms: 1200,
        },
        Class {
            name: "hizala",
            up_to: 1.0,
            safe: false,
            budget_ms: 4000,
        },
    ],
    settings: ankara,
};

impl Site {
    /// Starts the nodes of the site, each with a discovery of its own. `None` if one does not get ready.
    pub fn start_nodes(
        &self,
        root: &Path,
        folder: &Path,
        dice: &Dice,
        servers: &[Server],
        memory_mb: usize,
    ) -> Option<Vec<Node>> {
        let mut nodes = Vec::new();
        for ordinal in 0..self.nodes {
            let discovery = Discovery::start(self.entries(ordinal, servers));
            let (name, listen) = (format!("n{ordinal}"), free_port());
            let config = NodeConfig {
                name: &name,
                listen,
                discovery: discovery.address,
                seed: dice.bits(),
                memory_mb,
                known: &discovery.whole_list(),
                settings: &(self.settings)(self.nodes, ordinal),
            };
            nodes.push(Node::start(root, folder, &name, listen, &config.json())?);
        }
        let are_ready = nodes
            .iter()
            .all(|node| node.wait_ready(Duration::from_secs(10)));
        are_ready.then_some(nodes)
    }

    /// Sends one request of a class drawn at random. Returns its id and the answer.
    pub fn call(&self, client: &mut Client, record: &Record, dice: &Dice) -> (String, Answer) {
        let draw = dice.unit();
        let class = self
            .classes
            .iter()
            .find(|class| draw < class.up_to)
            .unwrap_or(&self.classes[0]);
        let id = format!("{:016x}", dice.bits());
        let call = Call {
            class: class.name,
            safe: class.safe,
            id: id.clone(),
            key: (!class.safe).then(|| format!("{:016x}", dice.bits())),
            budget_ms: class.budget_ms,
            cost_us: (dice.between(50.0, 90.0) * 1e3) as u64,
            body: b"",
        };
        record.line(&format!("client sends {id} {}", class.name));
        let answer = client.call(&call, Duration::from_millis(600));
        (id, answer)
    }

    fn zone(&self, number: usize) -> &'static str {
        self.zones[number % self.zones.len()]
    }

    /// The list as a node of this number gets it: it reaches every server through a network of its own.
    fn entries(&self, node: usize, servers: &[Server]) -> Vec<Entry> {
        let entry = |(i, server): (usize, &Server)| {
            let is_near = self.zone(i) == self.zone(node);
            let delay = if is_near {
                self.delay_us.0
            } else {
                self.delay_us.1
            };
            Entry {
                name: server.name.clone(),
                address: delay_proxy(server.address, Duration::from_micros(delay)),
                zone: self.zone(i).into(),
                group: (i / 5) as u32,
                status: "in_service",
                since_ms: 0,
            }
        };
        servers.iter().enumerate().map(entry).collect()
    }
}
