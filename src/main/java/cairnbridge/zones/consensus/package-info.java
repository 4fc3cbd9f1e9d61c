/**
 * Consensus on plans by CASPaxos (Rystsov 2018): a proposer prepares a ballot at the voters,
 * receives the newest plan that a majority may have accepted, derives the next plan from it, and
 * requests that the voters accept that plan. {@link cairnbridge.zones.consensus.AcceptorState} is
 * the state of a voter, {@link cairnbridge.zones.consensus.Proposal} that of a proposer. All types
 * are immutable; only {@link cairnbridge.zones.consensus.AcceptorStateFile} performs I/O.
 */
package cairnbridge.zones.consensus;
