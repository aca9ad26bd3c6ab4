package dev.windbend.shard;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.ManualEventLoop;
import dev.windbend.runtime.ManualHttpClient;
import dev.windbend.store.StoreClient;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ControllerLeaseTest {
  private static final long TERM_MS = 4_000;
  private static final long RENEWAL_MS = TERM_MS / 4;

  private final ManualEventLoop loop = new ManualEventLoop(100_000);
  private final ManualHttpClient httpClient = new ManualHttpClient();
  private int expirations;

  private final StoreClient store = new StoreClient(loop, httpClient, "state:1", 1_000, 100, 8, 1);
  private final ControllerLease lease =
      new ControllerLease(loop, store, TERM_MS, () -> expirations++);

  private void respond(int call, int status, String body) {
    httpClient
        .responseCallbacks
        .get(call)
        .accept(new ClientResponse(status, body.getBytes(StandardCharsets.UTF_8)));
  }

  private void grant(int call, int id) {
    respond(call, 200, "{\"permit\":" + id + "}");
  }

  private void advance(long ms) {
    loop.nowMs += ms;
    loop.runPendingTasks();
  }

  /**
   * Guards against a lease that expires on an overloaded controller: a controller that had just
   * started read responses seconds late and sent each renewal only after the previous response, so
   * its lease expired while that response was still unread in the socket.
   */
  @Test
  void renewalsDoNotWaitForResponses() {
    lease.acquire();
    grant(0, 7);
    for (int i = 0; i < 3; i++) {
      advance(RENEWAL_MS);
    }
    assertThat(httpClient.paths)
        .containsExactly("/holds", "/holds/7/renew", "/holds/7/renew", "/holds/7/renew");
  }

  @Test
  void outOfOrderResponsesNeverShortenTheLease() {
    lease.acquire();
    grant(0, 7);
    advance(RENEWAL_MS);
    advance(RENEWAL_MS);
    grant(2, 7);
    grant(1, 7);
    loop.nowMs += TERM_MS - 200;
    assertThat(lease.isValid()).isTrue();
    loop.nowMs += 200;
    assertThat(lease.isValid()).isFalse();
  }

  @Test
  void responsesForAPreviousLeaseAreIgnored() {
    lease.acquire();
    grant(0, 7);
    advance(RENEWAL_MS);
    advance(RENEWAL_MS);
    respond(1, 404, "{}");
    assertThat(expirations).isEqualTo(1);
    assertThat(lease.id()).isEqualTo(ControllerLease.NO_LEASE);
    grant(2, 7);
    assertThat(lease.isValid()).as("renewal of the expired lease").isFalse();
    grant(3, 8);
    assertThat(lease.id()).isEqualTo(8);
    respond(2, 404, "{}");
    assertThat(expirations).as("expiry of the previous lease reported again").isEqualTo(1);
    assertThat(lease.isValid()).isTrue();
  }

  @Test
  void failedRenewalIsRetried() {
    lease.acquire();
    grant(0, 7);
    advance(RENEWAL_MS);
    respond(1, 503, "{}");
    assertThat(loop.pendingTasks).as("one renewal timer").hasSize(1);
    advance(300);
    assertThat(httpClient.paths).containsExactly("/holds", "/holds/7/renew", "/holds/7/renew");
  }
}
