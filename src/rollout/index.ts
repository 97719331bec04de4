/** Judges versions on the evidence of all entries. */
export { mergeEvidence, toEvidenceRow, type EvidenceRow, type Sample } from './evidence.js';
