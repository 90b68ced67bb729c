package gladelug.emulator.sim;

/** Faults of one simulated control machine, and how each is repaired. */
enum OwnerFault {
  SILENT_CUT("silent cut") {
    @Override
    void inject(Simulation world, SimControlMachine control) {
      world.cutOff(control.name);
    }

    @Override
    void repair(Simulation world, SimControlMachine control) {
      world.heal(control.name);
    }
  },
  NOT_HEARD("one-way cut, hears but isn't heard") {
    @Override
    void inject(Simulation world, SimControlMachine control) {
      for (String x : world.allNames()) if (!x.equals(control.name)) world.cutLink(control.name, x);
    }

    @Override
    void repair(Simulation world, SimControlMachine control) {
      world.heal(control.name);
    }
  },
  HEARS_NOBODY("one-way cut, is heard but doesn't hear") {
    @Override
    void inject(Simulation world, SimControlMachine control) {
      for (String x : world.allNames()) if (!x.equals(control.name)) world.cutLink(x, control.name);
    }

    @Override
    void repair(Simulation world, SimControlMachine control) {
      world.heal(control.name);
    }
  },
  RESET_CUT("cut with resets") {
    @Override
    void inject(Simulation world, SimControlMachine control) {
      world.cutWithResets(control.name);
    }

    @Override
    void repair(Simulation world, SimControlMachine control) {
      world.heal(control.name);
    }
  },
  KILL("kill") {
    @Override
    void inject(Simulation world, SimControlMachine control) {
      control.kill();
    }

    @Override
    void repair(Simulation world, SimControlMachine control) {
      control.start();
    }
  },
  FREEZE("freeze") {
    @Override
    void inject(Simulation world, SimControlMachine control) {
      control.pause();
    }

    @Override
    void repair(Simulation world, SimControlMachine control) {
      control.resume();
    }
  },
  SLOW("five times slower, disk 160 ms") {
    @Override
    void inject(Simulation world, SimControlMachine control) {
      control.storage.extraSyncMs = 160;
      slice(world, control);
    }

    /** Runs the process for a fifth of each 100 ms while its disk is slow. */
    private void slice(Simulation world, SimControlMachine control) {
      if (control.storage.extraSyncMs == 0) return;
      control.pause();
      world.after(80, control::resume);
      world.after(100, () -> slice(world, control));
    }

    @Override
    void repair(Simulation world, SimControlMachine control) {
      control.storage.extraSyncMs = 0;
    }
  },
  STALLED_DISK("stalled disk") {
    @Override
    void inject(Simulation world, SimControlMachine control) {
      control.storage.stalled = true;
    }

    @Override
    void repair(Simulation world, SimControlMachine control) {
      control.storage.stalled = false;
      control.storage.startWrite(world, control);
    }
  },
  FULL_DISK("full disk") {
    @Override
    void inject(Simulation world, SimControlMachine control) {
      control.storage.full = true;
    }

    @Override
    void repair(Simulation world, SimControlMachine control) {
      control.storage.full = false;
    }
  },
  FAILED_DISK("failed disk, the process stops") {
    @Override
    void inject(Simulation world, SimControlMachine control) {
      control.storage.failing = true;
    }

    @Override
    void repair(Simulation world, SimControlMachine control) {
      control.storage.failing = false;
      if (!control.up) control.start();
    }
  };

  final String description;

  OwnerFault(String words) {
    this.description = words;
  }

  abstract void inject(Simulation world, SimControlMachine control);

  abstract void repair(Simulation world, SimControlMachine control);
}
