//! The situations for which traces can be generated.

/// A situation of one of the two deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Spain: site managers and foremen check and book at dawn.
    DawnRush,
    /// Hungary: the shop counters open.
    Opening,
    /// Spain: accountants pull gate logs while foremen check availability.
    MonthEnd,
    /// Hungary: a steady load, for comparison.
    Steady,
}

/// A mix of calls that a scenario sends.
pub struct Mix {
    pub service: &'static str,
    pub class: &'static str,
    pub method: &'static str,
    pub prefix: &'static str,
    /// Share of the calls, relative to the other mixes.
    pub share: u32,
    /// Mean service time in microseconds.
    pub service_us: f64,
    /// Size of the body in bytes.
    pub bytes: usize,
    /// Whether each call has an idempotency key.
    pub keyed: bool,
}

impl Scenario {
    /// All scenarios with their names on the command line.
    pub const ALL: [(&'static str, Scenario); 4] = [
        ("dawn-rush", Self::DawnRush),
        ("month-end", Self::MonthEnd),
        ("opening", Self::Opening),
        ("steady", Self::Steady),
    ];

    /// Finds a scenario by its name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.iter().find(|(known, _)| *known == name).map(|(_, scenario)| *scenario)
    }

    /// The workspaces whose calls arrive.
    pub fn workspaces(self) -> &'static [&'static str] {
        match self {
            Self::Opening | Self::Steady => &["counters", "workshops", "accounting"],
            Self::DawnRush | Self::MonthEnd => &["gates", "office", "bookkeeping"],
        }
    }

    /// Arrival rate at `progress` (0 to 1) of the trace, relative to the mean rate.
    pub fn intensity(self, progress: f64) -> f64 {
        match self {
            Self::Steady | Self::MonthEnd => 1.0,
            Self::Opening if (0.4..0.6).contains(&progress) => 2.5,
            Self::Opening => 0.625,
            // A ramp from a quarter of the mean rate to its peak and back.
            Self::DawnRush => 0.25 + 1.5 * (1.0 - (2.0 * progress - 1.0).abs()),
        }
    }

    /// The calls that arrive.
    pub fn mixes(self) -> &'static [Mix] {
        match self {
            Self::Opening | Self::Steady => HUNGARY,
            Self::DawnRush => EBRO,
            Self::MonthEnd => EBRO_MONTH_END,
        }
    }
}

const HUNGARY: &[Mix] = &[
    mix("ticket-desk", "lookup", "GET", "/tickets", 60, 4_000.0),
    mix("stock-deposits", "lookup", "GET", "/stock", 25, 4_000.0),
    booking("job-booking", "booking", "/jobs", 12, 8_000.0),
    booking("stock-deposits", "deposit", "/stock/deposits", 3, 8_000.0),
];

const EBRO: &[Mix] = &[
    mix("availability", "check", "GET", "/availability", 80, 5_000.0),
    booking("plot-booking", "booking", "/plots", 15, 10_000.0),
    booking("accounts", "refund", "/accounts/refunds", 5, 10_000.0),
];

const EBRO_MONTH_END: &[Mix] = &[
    mix("availability", "check", "GET", "/availability", 70, 5_000.0),
    booking("plot-booking", "booking", "/plots", 10, 10_000.0),
    mix("accounts", "lookup", "GET", "/accounts/entries", 17, 5_000.0),
    mix("accounts", "log-pull", "GET", "/accounts/gate-log", 3, 200_000.0),
];

const fn mix(
    service: &'static str,
    class: &'static str,
    method: &'static str,
    prefix: &'static str,
    share: u32,
    service_us: f64,
) -> Mix {
    Mix { service, class, method, prefix, share, service_us, bytes: 0, keyed: false }
}

const fn booking(
    service: &'static str,
    class: &'static str,
    prefix: &'static str,
    share: u32,
    service_us: f64,
) -> Mix {
    Mix { service, class, method: "POST", prefix, share, service_us, bytes: 120, keyed: true }
}
