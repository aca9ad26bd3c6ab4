import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The controllers of the deployment, each a process with the command of the deploy file. */
final class Controllers {
  private final Path root;
  private final Path folder;
  private final Record record;
  private final Process[] processes;
  private final List<String> command;
  final String[] addresses;

  Controllers(Path root, Path folder, Record record, Site site, HttpServer cloud, HttpServer state)
      throws IOException {
    this.root = root;
    this.folder = folder;
    this.record = record;
    this.addresses = new String[3];
    this.processes = new Process[3];
    this.command = command(root);
    String[] peers = new String[3];
    for (int i = 0; i < 3; i++) {
      addresses[i] = "127.0.0.1:" + Http.freePort();
      peers[i] = "127.0.0.1:" + Http.freePort();
    }
    for (int i = 0; i < 3; i++) {
      Files.writeString(
          folder.resolve("mast-" + i + ".toml"), site.settings(i, addresses, peers, cloud, state));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  private static List<String> command(Path root) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
      if (line.startsWith("run")) {
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return new ArrayList<>(Arrays.asList(run.trim().split(" +")));
      }
    }
    throw new IOException("no command in the deploy file");
  }

  void start(int index) throws IOException {
    List<String> started = new ArrayList<>(command);
    started.add(folder.resolve("mast-" + index + ".toml").toString());
    ProcessBuilder builder = new ProcessBuilder(started);
    builder.directory(root.toFile());
    File log = folder.resolve("mast-" + index + ".log").toFile();
    builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    processes[index] = builder.start();
    record.line("mast-%d starts", index);
  }

  void kill(int index) throws InterruptedException {
    record.line("mast-%d is killed", index);
    processes[index].destroyForcibly().waitFor();
  }

  /** Whether the process runs. */
  boolean alive(int index) {
    return processes[index].isAlive();
  }

  void killAll() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }

  /** Waits until every controller answers that it can take requests. */
  boolean awaitUp(double withinS) throws InterruptedException {
    double untilS = record.seconds() + withinS;
    while (record.seconds() < untilS) {
      boolean all = true;
      for (String address : addresses) {
        all &= Http.call(address, "GET", "/up", null, 1).status() == 200;
      }
      if (all) {
        record.line("all controllers are up");
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }
}
