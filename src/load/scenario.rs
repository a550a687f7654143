//! Load scenarios for which traces can be generated.

/// A load pattern of one of the two deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Spain: site managers and foremen check availability and book at dawn, so the load rises to
    /// a peak and falls again.
    DawnRush,
    /// Hungary: the shop counters open, which causes a load spike.
    Opening,
    /// Spain: accountants pull gate logs, which are long calls, while foremen check availability.
    MonthEnd,
    /// Hungary: a constant load, for comparison.
    Steady,
}

/// A kind of call that a scenario sends.
pub struct CallKind {
    pub service: &'static str,
    pub class: &'static str,
    pub method: &'static str,
    pub prefix: &'static str,
    /// Share of the calls, relative to the other kinds of the scenario.
    pub share: u32,
    /// Mean service time in microseconds.
    pub service_us: f64,
    /// Size of the request body in bytes.
    pub bytes: usize,
    /// Whether each call has an idempotency key.
    pub has_key: bool,
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
        Self::ALL.iter().find(|(candidate, _)| *candidate == name).map(|(_, scenario)| *scenario)
    }

    /// The workspaces that send calls, with equal probability.
    pub fn workspaces(self) -> &'static [&'static str] {
        match self {
            Self::Opening | Self::Steady => &["counters", "workshops", "accounting"],
            Self::DawnRush | Self::MonthEnd => &["gates", "office", "bookkeeping"],
        }
    }

    /// Arrival rate relative to the mean rate, at `progress` (0 to 1) through the trace.
    pub fn relative_rate(self, progress: f64) -> f64 {
        match self {
            Self::Steady | Self::MonthEnd => 1.0,
            Self::Opening if (0.4..0.6).contains(&progress) => 2.5,
            Self::Opening => 0.625,
            // A linear ramp from a quarter of the mean rate to the peak at half time, and back.
            Self::DawnRush => 0.25 + 1.5 * (1.0 - (2.0 * progress - 1.0).abs()),
        }
    }

    /// The kinds of calls that arrive.
    pub fn call_kinds(self) -> &'static [CallKind] {
        match self {
            Self::Opening | Self::Steady => HUNGARY_CALLS,
            Self::DawnRush => EBRO_CALLS,
            Self::MonthEnd => EBRO_MONTH_END_CALLS,
        }
    }
}

const HUNGARY_CALLS: &[CallKind] = &[
    call_kind("ticket-desk", "lookup", "GET", "/tickets", 60, 4_000.0),
    call_kind("stock-deposits", "lookup", "GET", "/stock", 25, 4_000.0),
    keyed_call("job-booking", "booking", "/jobs", 12, 8_000.0),
    keyed_call("stock-deposits", "deposit", "/stock/deposits", 3, 8_000.0),
];

const EBRO_CALLS: &[CallKind] = &[
    call_kind("availability", "check", "GET", "/availability", 80, 5_000.0),
    keyed_call("plot-booking", "booking", "/plots", 15, 10_000.0),
    keyed_call("accounts", "refund", "/accounts/refunds", 5, 10_000.0),
];

const EBRO_MONTH_END_CALLS: &[CallKind] = &[
    call_kind("availability", "check", "GET", "/availability", 70, 5_000.0),
    keyed_call("plot-booking", "booking", "/plots", 10, 10_000.0),
    call_kind("accounts", "lookup", "GET", "/accounts/entries", 17, 5_000.0),
    call_kind("accounts", "log-pull", "GET", "/accounts/gate-log", 3, 200_000.0),
];

const fn call_kind(
    service: &'static str,
    class: &'static str,
    method: &'static str,
    prefix: &'static str,
    share: u32,
    service_us: f64,
) -> CallKind {
    CallKind { service, class, method, prefix, share, service_us, bytes: 0, has_key: false }
}

const fn keyed_call(
    service: &'static str,
    class: &'static str,
    prefix: &'static str,
    share: u32,
    service_us: f64,
) -> CallKind {
    CallKind {
        service,
        class,
        method: "POST",
        prefix,
        share,
        service_us,
        bytes: 120,
        has_key: true,
    }
}
