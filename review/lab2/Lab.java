import java.io.IOException;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** A deployment of three controllers with its stand-ins, for one run of a case. */
final class Lab {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** A run ends here at the latest. */
  private static final double MAX_S = 116;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path folder;
  final Record record;
  final Site site;
  final Checker checker;
  final StateService state;
  final Cloud cloud;
  final Controllers controllers;
  final Users users;

  Lab(String[] args, Site site, BigInteger ledger, int machinesPerKind, double bootFactor)
      throws IOException {
    Path root = Path.of(args[0]);
    this.folder = Files.createTempDirectory("windbend-case");
    this.record = new Record(Path.of(args[1]).resolve("record.txt"));
    this.site = site;
    this.checker = new Checker(site, record);
    this.state = new StateService(ledger, site.stateRps, site.stateWriteRps, 8, 4);
    this.cloud = new Cloud(site, record, checker, machinesPerKind, bootFactor);
    this.controllers = new Controllers(root, folder, record, site, cloud.server, state.server);
    this.users = new Users(record, site, controllers.addresses);
    cloud.setControllers(controllers.addresses);
    record.line("TROUBLE=%d", trouble ? 1 : 0);
    Http.daemon(
            () -> {
              while (record.seconds() < MAX_S) {
                sleep(0.2);
              }
              end(COULD_NOT_RUN, "the run took too long");
            })
        .start();
  }

  static void sleep(double seconds) {
    try {
      Thread.sleep((long) (1000 * seconds));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Starts all controllers and waits until they are up. */
  void start() throws IOException, InterruptedException {
    for (int i = 0; i < 3; i++) {
      controllers.start(i);
    }
    if (!controllers.awaitUp(25)) {
      end(COULD_NOT_RUN, "the controllers did not come up");
    }
  }

  /** Ends all processes, removes the temporary folder and exits. */
  synchronized void end(int code, String why) {
    controllers.killAll();
    record.line("%s: %s", code == HELD ? "held" : code == BROKEN ? "BROKEN" : "could not run", why);
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      } catch (IOException e) {
        record.line("temporary folder not removed: %s", e);
      }
    } else {
      System.out.println(folder);
    }
    System.out.println(why);
    Runtime.getRuntime().halt(code);
  }
}
