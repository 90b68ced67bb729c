package gladelug.emulator.sim;

/** What may happen to one control machine of the simulator, and how it ends. */
enum OwnerTrouble {
  SILENT_CUT("silent cut") {
    @Override
    void begin(Simulation world, SimControlMachine control) {
      world.cutOff(control.name);
    }

    @Override
    void end(Simulation world, SimControlMachine control) {
      world.heal(control.name);
    }
  },
  NOT_HEARD("one-way cut, hears but isn't heard") {
    @Override
    void begin(Simulation world, SimControlMachine control) {
      for (String x : world.allNames()) if (!x.equals(control.name)) world.cutLink(control.name, x);
    }

    @Override
    void end(Simulation world, SimControlMachine control) {
      world.heal(control.name);
    }
  },
  HEARS_NOBODY("one-way cut, is heard but doesn't hear") {
    @Override
    void begin(Simulation world, SimControlMachine control) {
      for (String x : world.allNames()) if (!x.equals(control.name)) world.cutLink(x, control.name);
    }

    @Override
    void end(Simulation world, SimControlMachine control) {
      world.heal(control.name);
    }
  },
  RESET_CUT("cut with resets") {
    @Override
    void begin(Simulation world, SimControlMachine control) {
      world.cutWithResets(control.name);
    }

    @Override
    void end(Simulation world, SimControlMachine control) {
      world.heal(control.name);
    }
  },
  KILL("kill") {
    @Override
    void begin(Simulation world, SimControlMachine control) {
      control.kill();
    }

    @Override
    void end(Simulation world, SimControlMachine control) {
      control.start();
    }
  },
  FREEZE("freeze") {
    @Override
    void begin(Simulation world, SimControlMachine control) {
      control.pause();
    }

    @Override
    void end(Simulation world, SimControlMachine control) {
      control.resume();
    }
  },
  SLOW("five times slower, disk 160 ms") {
    @Override
    void begin(Simulation world, SimControlMachine control) {
      control.storage.extraSyncMs = 160;
      slice(world, control);
    }

    /** Runs for a fifth of each tenth of a second while its disk is slow. */
    private void slice(Simulation world, SimControlMachine control) {
      if (control.storage.extraSyncMs == 0) return;
      control.pause();
      world.after(80, control::resume);
      world.after(100, () -> slice(world, control));
    }

    @Override
    void end(Simulation world, SimControlMachine control) {
      control.storage.extraSyncMs = 0;
    }
  },
  STALLED_DISK("stalled disk") {
    @Override
    void begin(Simulation world, SimControlMachine control) {
      control.storage.stalled = true;
    }

    @Override
    void end(Simulation world, SimControlMachine control) {
      control.storage.stalled = false;
      control.storage.startWrite(world, control);
    }
  },
  FULL_DISK("full disk") {
    @Override
    void begin(Simulation world, SimControlMachine control) {
      control.storage.full = true;
    }

    @Override
    void end(Simulation world, SimControlMachine control) {
      control.storage.full = false;
    }
  },
  FAILED_DISK("failed disk, the process stops") {
    @Override
    void begin(Simulation world, SimControlMachine control) {
      control.storage.failing = true;
    }

    @Override
    void end(Simulation world, SimControlMachine control) {
      control.storage.failing = false;
      if (!control.up) control.start();
    }
  };

  final String words;

  OwnerTrouble(String words) {
    this.words = words;
  }

  abstract void begin(Simulation world, SimControlMachine control);

  abstract void end(Simulation world, SimControlMachine control);
}
