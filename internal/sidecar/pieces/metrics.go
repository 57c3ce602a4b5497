package pieces

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Values of the metric attribute "result".
const (
	resultImported  = "imported"
	resultNotStored = "not kept"
	resultRejected  = "rejected"
	resultCancelled = "cancelled"
	resultTooSlow   = "too slow"
	resultFailed    = "failed"
	resultExported  = "exported"
)

var (
	meter = otel.Meter("wasabigate/pieces")

	importCount, _ = meter.Int64Counter("wasabigate.pieces.imports",
		metric.WithUnit("{import}"),
		metric.WithDescription("Imports of kept pieces into the engine, done or left out, by result."))
	importedTokens, _ = meter.Int64Counter("wasabigate.pieces.imported_tokens",
		metric.WithUnit("{token}"),
		metric.WithDescription("Prompt tokens imported from kept pieces."))
	importTime, _ = meter.Float64Histogram("wasabigate.pieces.import_time",
		metric.WithUnit("s"),
		metric.WithDescription("Time that requests spent on the import of kept pieces."))
	exportCount, _ = meter.Int64Counter("wasabigate.pieces.exports",
		metric.WithUnit("{piece}"),
		metric.WithDescription("Exports of hot pieces to the store, by result."))
)

func result(name string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("result", name))
}

func countImport(name string, tokens int64) {
	importCount.Add(context.Background(), 1, result(name))
	importedTokens.Add(context.Background(), tokens)
}

func recordImport(took time.Duration) { importTime.Record(context.Background(), took.Seconds()) }

func countExport(name string) { exportCount.Add(context.Background(), 1, result(name)) }
