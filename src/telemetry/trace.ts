/**
 * Distributed tracing with one span per hop. Invariant: a call that isn't sampled costs one comparison, and its
 * `traceparent` is forwarded unchanged.
 */
import {
  SpanKind,
  SpanStatusCode,
  trace,
  TraceFlags,
  type Context,
  type Span,
} from '@opentelemetry/api';
import { ROOT_CONTEXT } from '@opentelemetry/api';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import { resourceFromAttributes } from '@opentelemetry/resources';
import { BasicTracerProvider, BatchSpanProcessor } from '@opentelemetry/sdk-trace-base';

/** The trace, parent span and sampling decision that a caller passed on. */
export interface TraceContext {
  readonly traceId: string;
  readonly spanId: string;
  readonly sampled: boolean;
}

/** Span of one hop. */
export interface HopSpan {
  /** Value of the `traceparent` header for the next hop. */
  readonly traceparent: string;
  /** Ends the span with the response status and the upstream, if one was selected. */
  finish(status: number, upstreamId: string | undefined): void;
}

/** Starts spans for the calls of one process. */
export interface Tracer {
  /** Starts the span of a call; returns undefined if the call is not sampled. */
  startHop(name: string, traceparent: string | undefined, random: number): HopSpan | undefined;
  /** Exports the pending spans and stops. */
  close(): Promise<void>;
}

/** Options of {@link createTracer}. */
export interface TracerOptions {
  readonly processId: string;
  /** OTLP/HTTP URL that spans are exported to; tracing is disabled without it. */
  readonly otlpUrl: string | undefined;
  /** Share of calls without a valid `traceparent` that are sampled, from 0 to 1. */
  readonly sampleRatio: number;
}

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;
const SERVER_ERROR = 500;

/**
 * Parses a W3C `traceparent`; returns undefined if it is malformed.
 *
 * @example
 * parseTraceparent('00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01')?.sampled // true
 */
export function parseTraceparent(header: string): TraceContext | undefined {
  const [, traceId, spanId, flags] = TRACEPARENT.exec(header) ?? [];
  if (traceId === undefined || spanId === undefined || flags === undefined) return undefined;
  return { traceId, spanId, sampled: (parseInt(flags, 16) & TraceFlags.SAMPLED) !== 0 };
}

function buildParent(context: TraceContext | undefined): Context {
  if (context === undefined) return ROOT_CONTEXT;
  const { traceId, spanId, sampled } = context;
  const traceFlags = sampled ? TraceFlags.SAMPLED : TraceFlags.NONE;
  return trace.setSpanContext(ROOT_CONTEXT, { traceId, spanId, traceFlags, isRemote: true });
}

function createHopSpan(span: Span): HopSpan {
  const { traceId, spanId } = span.spanContext();
  return {
    traceparent: `00-${traceId}-${spanId}-01`,
    finish: (status, upstreamId) => {
      span.setAttribute('http.response.status_code', status);
      if (upstreamId !== undefined) span.setAttribute('chivewalk.upstream', upstreamId);
      if (status >= SERVER_ERROR) span.setStatus({ code: SpanStatusCode.ERROR });
      span.end();
    },
  };
}

/**
 * Creates the tracer of one process.
 *
 * @example
 * const tracer = createTracer({ processId: 'entry-1', otlpUrl: undefined, sampleRatio: 0.01 });
 * const span = tracer.startHop('seam-records', request.headers.traceparent, Math.random());
 */
export function createTracer(options: TracerOptions): Tracer {
  if (options.otlpUrl === undefined) {
    return { startHop: () => undefined, close: () => Promise.resolve() };
  }
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({
      'service.name': 'chivewalk',
      'service.instance.id': options.processId,
    }),
    spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({ url: options.otlpUrl }))],
  });
  const tracer = provider.getTracer('chivewalk');
  return {
    startHop: (name, traceparent, random) => {
      const parent = traceparent === undefined ? undefined : parseTraceparent(traceparent);
      const sampled = parent === undefined ? random < options.sampleRatio : parent.sampled;
      if (!sampled) return undefined;
      return createHopSpan(tracer.startSpan(name, { kind: SpanKind.SERVER }, buildParent(parent)));
    },
    close: () => provider.shutdown(),
  };
}
