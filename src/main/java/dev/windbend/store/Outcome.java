package dev.windbend.store;

import java.util.List;

/** How a transaction ended. */
public record Outcome(Kind kind, long revision, List<String> failed) {
  /** UNKNOWN: no answer, so it may have been applied or may yet be. REFUSED: surely not applied. */
  public enum Kind {
    DONE,
    CONFLICT,
    REFUSED,
    UNKNOWN
  }

  public boolean done() {
    return kind == Kind.DONE;
  }
}
