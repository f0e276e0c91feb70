//! The process-wide metrics registry and its export as text.

use std::sync::LazyLock;

use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::events::Event;
use crate::events::record;
use crate::metrics::Instruments;

const NAMESPACE: &str = "gooseberryloft";

struct Exporter {
    registry: Registry,
    instruments: Instruments,
    _provider: SdkMeterProvider,
}

static EXPORTER: LazyLock<Exporter> = LazyLock::new(Exporter::new);

impl Exporter {
    fn new() -> Self {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .without_target_info()
            .without_scope_info()
            .build()
            .expect("an empty registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let instruments = Instruments::new(&provider.meter(NAMESPACE));
        Self {
            registry,
            instruments,
            _provider: provider,
        }
    }
}

/// Returns the process-wide metrics, registered on the first call.
pub fn instruments() -> &'static Instruments {
    &EXPORTER.instruments
}

/// Returns the metrics of the process in the Prometheus text format, or an empty string with a
/// [`Event::MetricsFailed`] in the log if they cannot be encoded.
pub fn render() -> String {
    let families = EXPORTER.registry.gather();
    let text = TextEncoder::new().encode_to_string(&families);
    text.unwrap_or_else(|error| {
        record(Event::MetricsFailed, format_args!("{error}"));
        String::new()
    })
}
