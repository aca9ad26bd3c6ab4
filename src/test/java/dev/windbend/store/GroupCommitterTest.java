package dev.windbend.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ManualEventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests which writes of a shard's leader are combined into one transaction. */
class GroupCommitterTest {
  private static final int MAX_WRITES = 8;
  private static final int MAX_CONDITIONS = 4 * MAX_WRITES;
  private static final long PAUSE_MS = 200;

  private final ManualEventLoop loop = new ManualEventLoop(100_000);
  private final List<JsonNode> sent = new ArrayList<>();
  private final StoreClient store =
      new StoreClient(loop, this::respond, "state:1", 1_000, 1_000, MAX_WRITES, 1);
  private final GroupCommitter committer =
      new GroupCommitter(loop, store, "w/c/0", 7, PAUSE_MS, () -> {}, () -> {});
  private final PagedStore pages = new PagedStore("w/p/0/", 4_096, MAX_WRITES);
  private long revision = 10;

  /** Fake state service that rejects transactions above the protocol's limits. */
  private void respond(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<ClientResponse> done) {
    JsonNode transaction = Json.read(body, JsonNode.class);
    sent.add(transaction);
    boolean tooLarge =
        transaction.path("when").size() > MAX_CONDITIONS
            || transaction.path("then").size() > MAX_WRITES;
    String reply = "{\"ledger\":" + ++revision + "}";
    done.accept(
        tooLarge
            ? new ClientResponse(400, "{}".getBytes(StandardCharsets.UTF_8))
            : new ClientResponse(200, reply.getBytes(StandardCharsets.UTF_8)));
  }

  /** A placement of a job, stored in a page on condition that the job's record is unchanged. */
  private static final class Placement implements PageEntry {
    private final String job;
    private boolean inFlight;
    private boolean written;

    private Placement(String job) {
      this.job = job;
    }

    @Override
    public String id() {
      return job + ":0";
    }

    @Override
    public boolean dirty() {
      return !inFlight && !written;
    }

    @Override
    public boolean urgent(long nowMs) {
      return true;
    }

    @Override
    public boolean obsolete() {
      return false;
    }

    @Override
    public Object snapshot() {
      return "on host-000001";
    }

    @Override
    public void beginWrite(TransactionBuilder transaction) {
      inFlight = true;
      transaction.ifVersion("w/j/" + job, 1);
    }

    @Override
    public void onApplied() {
      inFlight = false;
      written = true;
    }

    @Override
    public void onNotApplied() {
      inFlight = false;
    }

    @Override
    public boolean dependsOn(String key) {
      return false;
    }

    @Override
    public void onConflict(VersionedValue stored) {}
  }

  /** A record with a key of its own, for example a scale-out record. */
  private static final class ScaleOut extends RecordWrite {
    private boolean written;

    private ScaleOut(String name) {
      super("w/h/0/" + name);
    }

    @Override
    protected boolean hasUnstoredChange() {
      return !written;
    }

    @Override
    protected void addChange(TransactionBuilder transaction) {
      transaction.ifAbsent(key).put(key, "two machines");
    }

    @Override
    protected void applied(long revision) {
      written = true;
    }

    @Override
    public void onConflict(String key, VersionedValue stored) {}
  }

  private List<Placement> enqueuePlacements(int count) {
    List<Placement> placements = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Placement placement = new Placement("placed-" + i);
      placements.add(placement);
      pages.markChanged(placement);
    }
    committer.enqueue(pages);
    return placements;
  }

  private List<ScaleOut> enqueueScaleOuts(int count) {
    List<ScaleOut> scaleOuts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ScaleOut scaleOut = new ScaleOut("p0-" + i);
      scaleOuts.add(scaleOut);
      committer.enqueue(scaleOut);
    }
    return scaleOuts;
  }

  private void runCommitsFor(long ms) {
    for (long passed = 0; passed <= ms; passed += PAUSE_MS) {
      loop.runPendingTasks();
      committer.commitDue();
      loop.nowMs += PAUSE_MS;
    }
  }

  /**
   * Guards against a transaction with more conditions than the store allows, which the store would
   * reject on every retry.
   */
  @Test
  void keepsTransactionsWithinConditionLimit() {
    List<Placement> placements = enqueuePlacements(100);
    List<ScaleOut> scaleOuts = enqueueScaleOuts(20);
    runCommitsFor(60_000);
    assertThat(sent)
        .allSatisfy(
            transaction ->
                assertThat(transaction.path("when").size()).isLessThanOrEqualTo(MAX_CONDITIONS));
    assertThat(placements).allMatch(placement -> placement.written);
    assertThat(scaleOuts).allMatch(scaleOut -> scaleOut.written);
  }
}
