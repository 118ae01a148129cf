//! Metrics over UDP in the statsd protocol.
//!
//! Counters and gauges are aggregated and sent once a second, so that the traffic does not grow
//! with the load. The number of samples sent of each timing is limited.

use {
    crate::MetricsSettings,
    cadence::{
        BufferedUdpMetricSink, Counted, Gauged, MetricSink, NopMetricSink, QueuingMetricSink,
        StatsdClient, Timed,
    },
    std::{
        collections::BTreeMap,
        net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Maximum number of datagrams that wait to be sent.
const METRIC_QUEUE_CAPACITY: usize = 4_096;
/// Maximum number of samples of one timing that are sent at a time.
const MAX_TIMING_SAMPLES: usize = 50;

#[derive(Debug, Default)]
struct MetricValues {
    counts: BTreeMap<&'static str, u64>,
    totals: BTreeMap<&'static str, u64>,
    gauges: BTreeMap<&'static str, u64>,
    timings: BTreeMap<&'static str, Vec<u64>>,
}

/// Aggregates metrics and sends them.
#[derive(Debug)]
pub(crate) struct MetricRegistry {
    client: StatsdClient,
    values: Mutex<MetricValues>,
}

impl MetricRegistry {
    /// Creates a registry; without settings nothing is sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the UDP socket cannot be opened.
    pub(crate) fn new(settings: Option<&MetricsSettings>) -> anyhow::Result<Self> {
        let client = match settings {
            None => StatsdClient::from_sink("damaskrack", NopMetricSink),
            Some(settings) => StatsdClient::from_sink(&settings.prefix, open_sink(settings)?),
        };
        Ok(Self { client, values: Mutex::default() })
    }

    /// Adds to a counter.
    pub(crate) fn count(&self, metric: &'static str, amount: u64) {
        let mut values = self.lock_values();
        *values.counts.entry(metric).or_default() += amount;
        *values.totals.entry(metric).or_default() += amount;
    }

    /// Sets a gauge.
    pub(crate) fn gauge(&self, metric: &'static str, value: u64) {
        self.lock_values().gauges.insert(metric, value);
    }

    /// Records a duration.
    pub(crate) fn timing(&self, metric: &'static str, millis: u64) {
        let mut values = self.lock_values();
        let samples = values.timings.entry(metric).or_default();
        if samples.len() < MAX_TIMING_SAMPLES {
            samples.push(millis);
        }
    }

    /// Sends the aggregated metrics. A metric that cannot be sent is dropped, so that metrics never
    /// block the daemon.
    pub(crate) fn send(&self) {
        let mut values = self.lock_values();
        for (metric, amount) in std::mem::take(&mut values.counts) {
            let _ = self.client.count(metric, i64::try_from(amount).unwrap_or(i64::MAX));
        }
        for (metric, &value) in &values.gauges {
            let _ = self.client.gauge(metric, value);
        }
        for (metric, samples) in std::mem::take(&mut values.timings) {
            for millis in samples {
                let _ = self.client.time(metric, millis);
            }
        }
        let _ = self.client.flush();
    }

    /// Returns the totals of all counters and the gauges, as JSON for the state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let values = self.lock_values();
        serde_json::json!({ "counters": values.totals, "gauges": values.gauges })
    }

    fn lock_values(&self) -> MutexGuard<'_, MetricValues> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn open_sink(
    settings: &MetricsSettings,
) -> anyhow::Result<impl MetricSink + Sync + Send + std::panic::RefUnwindSafe + 'static> {
    let any: IpAddr = match settings.statsd_address {
        SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    let socket = UdpSocket::bind((any, 0))?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(settings.statsd_address, socket)?;
    Ok(QueuingMetricSink::with_capacity(sink, METRIC_QUEUE_CAPACITY))
}
