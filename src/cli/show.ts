/**
 * The command that shows the current state of the site. Invariant: it shows only state that a majority of the
 * control members has confirmed since the call.
 */
import { Command, Option, UsageError } from 'clipanion';
import { formatSelector, formatShare } from '../intent/index.js';
import type { SiteReport } from '../operators/index.js';
import { SiteCommand } from './options.js';
import { describeOutcome, EXIT_CODES, type CliOutcome } from './outcome.js';
import type { Session } from './session.js';

const SECTIONS = ['zones', 'moves', 'entries', 'members', 'upstreams'] as const;
type Section = (typeof SECTIONS)[number];

function describeMoves(site: SiteReport): readonly string[] {
  return site.moves.map((move) => {
    const late = move.late ? ', expected to miss its deadline' : '';
    const deadline = new Date(move.deadline).toISOString();
    return `${move.services.join(',')} to ${move.version}: ${formatShare(move.share)}, step ${move.step}, by ${deadline}${late} (id ${move.id})`;
  });
}

function describeEntries(site: SiteReport): readonly string[] {
  return site.entries.map((entry) => {
    const isAwaited = site.awaited.some(({ id }) => id === entry.id);
    const revision =
      entry.revision === undefined ? 'no revision reported' : `revision ${entry.revision}`;
    return `${entry.id}: ${entry.zone}, ${entry.phase}, ${revision}${isAwaited ? ', awaited' : ''}, callers at ${entry.callerAddress}`;
  });
}

function describeUpstreams(site: SiteReport): readonly string[] {
  const leaving = site.leaving.map((selector) => `leaving: ${formatSelector(selector)}`);
  const upstreams = site.upstreams.map(
    ({ id, service, version, zone, address }) =>
      `${id}: ${service} ${version}, ${zone}, ${address}`,
  );
  return [...leaving, ...upstreams];
}

function describeSection(site: SiteReport, section: Section): readonly string[] {
  switch (section) {
    case 'zones':
      return site.zones.map(
        ({ zone, out, entries }) => `${zone}: ${out ? 'out' : 'in'}, ${entries} entries`,
      );
    case 'moves':
      return describeMoves(site);
    case 'entries':
      return describeEntries(site);
    case 'members':
      return site.members.map(
        ({ address, voter, leader }) =>
          `${address}: ${leader ? 'leader' : voter ? 'follower' : 'learning'}`,
      );
    case 'upstreams':
      return describeUpstreams(site);
  }
}

/** Formats the sections of a report as text. */
export function renderSite(site: SiteReport, sections: readonly Section[]): string {
  const header = `revision ${site.revision}, in force everywhere: ${site.inForce}`;
  const parts = sections.map((section) => {
    const lines = describeSection(site, section);
    const body = lines.length === 0 ? ['none'] : lines;
    return [`${section}:`, ...body.map((line) => `  ${line}`)].join('\n');
  });
  return [header, ...parts].join('\n');
}

export class ShowCommand extends SiteCommand {
  static override paths = [['show']];
  static override usage = Command.Usage({
    category: 'Status and history',
    description: 'Shows what is in force and under way.',
    details: `Sections: ${SECTIONS.join(', ')}; all of them if none is named.`,
    examples: [
      ['Show everything', '$0 show'],
      ['Which entries does a change wait for?', '$0 show entries'],
    ],
  });
  section = Option.String({ required: false });

  protected override async run(session: Session): Promise<number> {
    const sections = this.parseSections();
    const result = await session.call((client, deadlineMs, signal) =>
      client.show.query({ deadlineMs }, { signal }),
    );
    if (result.kind === 'missed') {
      const outcome: CliOutcome = { kind: 'unavailable', remedy: result.remedy };
      this.print(outcome, describeOutcome(outcome));
      return EXIT_CODES.unavailable;
    }
    const { site } = result.answer;
    this.print(site, renderSite(site, sections));
    return 0;
  }

  private parseSections(): readonly Section[] {
    if (this.section === undefined) return SECTIONS;
    const section = SECTIONS.find((known) => known === this.section);
    if (section !== undefined) return [section];
    throw new UsageError(`show ${this.section}: use one of ${SECTIONS.join(', ')}`);
  }
}
